"""A short soak with a fixed seed, and the seeds that once failed."""

import asyncio

import pytest

from tools.soak import _promises
from tools.soak import _soak

SECONDS = 5.0


#: 41: a control VM was stopped right after its start, before it could handle
#: the signal; the soak took that for a crash.
#: 2117: the same at an entry VM that took over 2 s to start.
#: 42, 44: a periodic task of an entry VM failed and was not begun again.
SEEDS = [7, 41, 42, 44, 2117]


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold(seed, tmp_path):
    book = asyncio.run(_soak.soak(seed, SECONDS, tmp_path, False))
    assert book.broken == []
    assert book.answers[200] > 0


def test_second_run_is_found():
    book = _promises.Book()
    book.ran("s1", "r", False, 1.0)
    book.ran("s2", "r", False, 2.0)
    assert "ran twice" in book.broken[0]


def test_run_of_what_was_refused_is_found():
    book = _promises.Book()
    book.answered("r", False, 503, True, False)
    book.ran("s1", "r", False, 1.0)
    assert "after it was refused" in book.broken[0]


def test_refusal_of_what_ran_is_found():
    book = _promises.Book()
    book.ran("s1", "r", False, 1.0)
    book.answered("r", False, 503, True, False)
    assert "ran and was refused" in book.broken[0]


def test_foreign_body_is_found():
    book = _promises.Book()
    book.answered("r", True, 200, True, False)
    assert "another body" in book.broken[0]


def test_work_after_draining_is_found():
    book = _promises.Book()
    book.drained_at["s1"] = 1.0
    book.ran("s1", "r", True, 30.0)
    assert "after its end" in book.broken[0]


def test_older_or_other_configuration_is_found():
    book = _promises.Book()
    book.sent[3] = {"version": 3}
    book.read_back(200, b'{"version": 3}', 4)
    book.read_back(200, b'{"version": 3, "routes": []}', 3)
    assert len(book.broken) == 2
