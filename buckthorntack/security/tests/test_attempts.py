import random

import pytest

from buckthorntack import errors
from buckthorntack import security

OLD = b"o" * 32
NEW = b"n" * 32
TARGET = security.AttemptTarget("sonora", "guaymas", "server-7")


def issue(*keys, organisation="planta", seed=1):
    signer = security.AttemptSigner(keys)
    return signer.issue(*TARGET, organisation, random.Random(seed))


def test_target_comes_back():
    signer = security.AttemptSigner([OLD])
    issued = issue(OLD)
    assert signer.verify(issued, "planta").ok == TARGET
    assert issued.replace("-", "").replace("_", "").isalnum()
    assert len(issued) < 128
    assert issue(OLD, seed=2) != issued


def test_another_organisation_is_refused():
    signer = security.AttemptSigner([OLD])
    error = signer.verify(issue(OLD), "plant").error
    assert (error.number, error.run_state) == (1801, errors.RunState.UNKNOWN)
    unknown = signer.verify(issue(NEW), "planta").error
    assert str(error) == str(unknown)


def test_organisation_and_payload_do_not_run_together():
    signer = security.AttemptSigner([OLD])
    first = issue(OLD, organisation="a")
    assert signer.verify(first, "a\x94").is_error()


def test_rotation_accepts_old_and_new_keys():
    both = security.AttemptSigner([NEW, OLD])
    assert both.verify(issue(OLD), "planta").is_ok()
    assert both.verify(issue(NEW), "planta").is_ok()
    by_new = both.issue(*TARGET, "planta", random.Random(3))
    assert security.AttemptSigner([NEW]).verify(by_new, "planta").is_ok()
    assert security.AttemptSigner([OLD]).verify(by_new, "planta").is_error()


def test_every_changed_character_is_refused():
    signer = security.AttemptSigner([OLD])
    issued = issue(OLD)
    for index, character in enumerate(issued):
        for other in "A-_7":
            changed = issued[:index] + other + issued[index + 1 :]
            refused = signer.verify(changed, "planta").is_error()
            assert refused == (other != character)


@pytest.mark.parametrize(
    "text", ["", "A", "=", "é", "!", "A" * 22, "A" * 10_000, "\0", "a b"]
)
def test_malformed_is_refused(text):
    signer = security.AttemptSigner([OLD])
    assert signer.verify(text, "planta").is_error()
    assert signer.verify(issue(OLD) + text, "planta").is_error() == (
        text != ""
    )
