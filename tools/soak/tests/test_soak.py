"""A short soak with a fixed seed, and the seeds that once failed."""

import asyncio
import concurrent.futures
import math
import multiprocessing
import types

import pytest

from tools.soak import _orders
from tools.soak import _promises
from tools.soak import _soak

SECONDS = 5.0
GRACE_S = 6.0


#: 41: a control VM was stopped right after its start, before it could handle
#: the signal; the soak took that for a crash.
#: 2117: the same at an entry VM that took over 2 s to start.
#: 42, 44: a periodic task of an entry VM failed and was not begun again.
SEEDS = [7, 41, 42, 44, 2117]
#: Requests with the part still reached servers 5 s after the fifth crash.
SERIES_SEEDS = [11, 12]
#: Planned work only; 40002 stops many entry VMs.
#: 53003, 53007: requests that came over 3 s after a SIGTERM were passed on and
#: cut.
PLANNED_SEEDS = [40002, 40004, 53003, 53007]
#: Soaks that run at once; each in a process, whose id makes its addresses.
PLANNED_JOBS = 2
#: One round of orders without other faults than its last pause.
ORDERS_SEED = 112
ROUND_S = 1.0
#: Signals met processes that had just ended.
SIGNAL_SEED = 176858663


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold(seed, tmp_path):
    book = asyncio.run(_soak.soak(seed, SECONDS, tmp_path, False))
    assert book.broken == []
    assert book.answers[200] > 0


# Guards against requests, no two alike, that share a part of their prompt and
# crash one server after the other, and against a quarantine of sound ones.
@pytest.mark.parametrize("seed", SERIES_SEEDS)
def test_promises_hold_while_a_part_crashes_servers(seed, tmp_path):
    book = asyncio.run(_soak.soak(seed, SECONDS, tmp_path, False, True))
    assert book.broken == []
    assert book.crashes


# Guards against a process that ended as it should and is taken for one that
# failed, as a signal sent to it then took its exit code.
def test_promises_hold_while_signals_meet_ends(tmp_path):
    book = asyncio.run(_soak.soak(SIGNAL_SEED, SECONDS, tmp_path, False, True))
    assert book.broken == []


# Guards against a directory that leads requests out of their home region while
# its entry VMs stop one after the other.
def test_directory_stays_in_the_home_while_entry_vms_stop(tmp_path):
    async def scenario():
        async with _soak.Soak(1, tmp_path, False, True) as running:
            running.cases = (running.stop_region,)
            await running.run(2 * SECONDS)
            return running.book

    book = asyncio.run(scenario())
    assert [text for text in book.broken if "directory" in text] == []


def _soak_planned(seed, folder):
    soaking = _soak.soak(seed, SECONDS, folder, False, is_planned=True)
    book = asyncio.run(soaking)
    return book.broken, book.answers[200]


@pytest.fixture(scope="module")
def planned(tmp_path_factory):
    """Results of the planned seeds, which are to come."""
    with concurrent.futures.ProcessPoolExecutor(
        PLANNED_JOBS, multiprocessing.get_context("spawn")
    ) as pool:
        yield {
            seed: pool.submit(
                _soak_planned, seed, tmp_path_factory.mktemp(str(seed))
            )
            for seed in PLANNED_SEEDS
        }


# Guards against requests without an answer or a refusal beside changes of the
# configuration, planned stops and servers that are silent for a moment.
@pytest.mark.parametrize("seed", PLANNED_SEEDS)
def test_each_request_is_answered_beside_planned_work(seed, planned):
    broken, answered = planned[seed].result()
    assert broken == []
    assert answered > 0


# Guards against an evacuation that is undone by an order which a control VM
# reads after it stood still, though its operator gave it up and newer ones.
def test_acknowledged_orders_hold_while_control_vms_stand_still(tmp_path):
    book = asyncio.run(_orders.soak(ORDERS_SEED, ROUND_S, tmp_path))
    assert book.broken == []
    assert book.evacuations[-1].is_wanted
    assert book.answers[200] > 0


@pytest.mark.parametrize(
    ("runs", "waited_s", "breaks_off", "is_broken"),
    [
        (1, 0.01, False, True),
        (0, 0.5, False, True),
        (0, 0.01, False, False),
        (1, 0.5, True, False),
    ],
)
def test_unanswered_request_is_found(runs, waited_s, breaks_off, is_broken):
    book = _promises.Book()
    for _ in range(runs):
        book.ran("s1", "r", True, 1.0)
    if breaks_off:
        book.broken_off.add("r")
    book.unanswered.append(
        _promises.Unanswered("r", "e", 1.0, 1.0 + waited_s, 9.0)
    )
    book.check_answered({}, GRACE_S)
    assert bool(book.broken) is is_broken


# SIGTERM at 10 s, grace to 16 s: its last sixth begins at 15 s.
@pytest.mark.parametrize(
    ("sent_s", "ended_s", "worked_until_s", "deadline_s", "is_broken"),
    [
        (13.0, 15.5, 15.0, 18.0, False),
        (9.0, 15.5, math.inf, 18.0, False),
        (13.1, 15.5, 15.5, 18.0, True),
        (13.0, 15.5, 14.9, 18.0, True),
        (13.0, 14.9, 15.5, 18.0, True),
        (13.1, 15.5, 15.5, 15.54, False),
        (13.1, 15.5, 15.5, 15.56, True),
        (13.1, 15.5, 15.5, 14.6, False),
        (13.1, 15.5, 15.5, 14.4, True),
    ],
)
def test_requests_cut_by_a_stop_are_found_unless_it_may_cut_them(
    sent_s, ended_s, worked_until_s, deadline_s, is_broken
):
    book = _promises.Book()
    book.ran("s1", "r", True, sent_s)
    book.worked_until_s["r"] = worked_until_s
    request = _promises.Unanswered("r", "e", sent_s, ended_s, deadline_s)
    book.unanswered.append(request)
    book.check_answered({"e": [10.0], "other": [12.0]}, GRACE_S)
    assert bool(book.broken) is is_broken


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


def _is_calm(entry, begin_s, end_s):
    """Whether no fault struck an entry VM; ``e2`` is never calm."""
    return entry != "e2"


def _crash(book, number, entry="e1"):
    for at_s in range(number):
        book.crashes.append(_promises.Sighting(entry, float(at_s)))


def _arrive(book, number, entry="e1", at_s=20.0):
    book.arrivals += [_promises.Sighting(entry, at_s)] * number


def _ask(book, number, shares_part, served):
    for index in range(number):
        is_served = index < served
        book.sound_requests.append(
            _promises.SoundRequest("e1", 30.0, shares_part, is_served)
        )


@pytest.mark.parametrize(
    ("crashes", "arrivals", "entry", "at_s", "is_broken"),
    [
        (5, 4, "e1", 20.0, True),
        (5, 3, "e1", 20.0, False),
        (4, 4, "e1", 20.0, False),
        (5, 4, "e2", 20.0, False),
        (5, 4, "e1", 8.9, False),
    ],
)
def test_requests_that_go_on_crashing_servers_are_found(
    crashes, arrivals, entry, at_s, is_broken
):
    book = _promises.Book()
    _crash(book, crashes)
    _arrive(book, arrivals, entry, at_s)
    book.check_crashing_part(_is_calm)
    assert bool(book.broken) == is_broken


def test_crashes_that_others_may_not_know_are_left_out():
    book = _promises.Book()
    _crash(book, 4)
    _crash(book, 4, "e2")
    _arrive(book, 4)
    book.check_crashing_part(_is_calm)
    assert book.broken == []


@pytest.mark.parametrize(
    ("crashes", "requests", "served", "is_broken"),
    [
        (5, 20, 9, True),
        (2, 20, 9, True),
        (0, 20, 9, False),
        (5, 20, 10, False),
        (5, 19, 0, False),
    ],
)
def test_refusal_of_sound_requests_is_found(
    crashes, requests, served, is_broken
):
    book = _promises.Book()
    _crash(book, crashes)
    _ask(book, requests, True, served)
    _ask(book, requests, False, requests)
    book.check_crashing_part(_is_calm)
    assert bool(book.broken) == is_broken


def test_entry_vm_outside_the_home_is_found():
    book = _promises.Book()
    book.named(["a", "b"], ["a", "b"])
    assert book.broken == []
    book.named(["a", "c"], ["a", "b"])
    assert "outside the home" in book.broken[0]


def _order(is_wanted, sent_s, acknowledged_s):
    return _promises.Order(is_wanted, sent_s, acknowledged_s)


def _is_settled(acknowledged_s, bound_s, at_s):
    return at_s > acknowledged_s + bound_s


@pytest.mark.parametrize(
    ("at_s", "zone", "is_broken"),
    [
        (15.1, "a1", True),
        (14.9, "a1", False),
        (15.1, "b1", False),
        (39.9, "a1", True),
        (40.1, "a1", False),
        (80.0, "a1", False),
    ],
)
def test_request_in_an_evacuated_domain_is_found(at_s, zone, is_broken):
    book = _promises.Book()
    book.zones["s1"] = zone
    book.evacuations += [
        _order(True, 9.0, 10.0),
        _order(False, 40.0, 41.0),
        _order(True, 70.0, math.inf),
    ]
    book.ran("s1", "r", True, at_s)
    book.check_evacuations("a1", _is_settled)
    assert bool(book.broken) is is_broken


@pytest.mark.parametrize(
    ("sent_s", "has_route", "is_broken"),
    [
        (14.1, False, True),
        (14.1, True, False),
        (13.9, False, False),
        (39.9, False, False),
        (44.9, True, False),
        (45.1, True, True),
        (45.1, False, False),
    ],
)
def test_request_by_an_older_configuration_is_found(
    sent_s, has_route, is_broken
):
    book = _promises.Book()
    book.route_changes += [_order(True, 9.0, 10.0), _order(False, 40.0, 41.0)]
    request = _promises.RoutedRequest(sent_s, sent_s + 0.5, has_route)
    book.routed_requests.append(request)
    book.check_routes(_is_settled)
    assert bool(book.broken) is is_broken


# An order with a bound of 5 s, acknowledged at 10 s.
@pytest.mark.parametrize(
    ("faults", "at_s", "is_settled"),
    [
        ([], 14.9, False),
        ([], 15.1, True),
        ([("c1", 8.0, 12.0)], 21.9, False),
        ([("c1", 8.0, 12.0)], 22.1, True),
        ([("c1", 8.0, 60.0)], 24.9, False),
        ([("c1", 8.0, 60.0)], 25.1, True),
        ([("c1", 8.0, 24.0), ("c2", 20.0, 24.0)], 33.9, False),
        ([("c1", 8.0, 24.0), ("c2", 20.0, 24.0)], 34.1, True),
        ([("c1", 8.0, 20.0), ("c2", 20.1, 60.0)], 25.1, True),
    ],
)
def test_orders_settle_beside_faults(faults, at_s, is_settled, tmp_path):
    soak = _orders.OrdersSoak(1, tmp_path)
    for name in ("c1", "c2", "c3"):
        node = types.SimpleNamespace(name=name, role="control")
        soak.nodes[name] = node
    for name, since_s, until_s in faults:
        soak.faults[name].append((since_s, until_s))
    assert soak.is_settled(10.0, 5.0, at_s) is is_settled
