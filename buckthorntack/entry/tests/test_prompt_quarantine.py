"""Tests of the quarantine of prompt blocks at an entry VM."""

import datetime

import pytest

from buckthorntack import membership
from buckthorntack import retries
from buckthorntack import schema
from buckthorntack.entry import _attempt_progress
from buckthorntack.entry import _crash_monitor
from buckthorntack.entry import _prompt_quarantine
from buckthorntack.entry.tests import fakes
from buckthorntack.routing.tests import _records
from buckthorntack.schema import messages

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)


def make_quarantine(node_id="e1"):
    return _prompt_quarantine.PromptQuarantine(node_id, lambda: (), SECOND)


def make_request(*prefix_hashes, **fields):
    return fakes.make_request("whole", prefix_hashes=prefix_hashes, **fields)


def lose(quarantine, request, server_id, at):
    subjects = _prompt_quarantine.list_subjects(request)
    lost = retries.LostRequest(f"f{server_id}", subjects, at - 100 * MS, at)
    quarantine.on_server_crashed(
        retries.Crash(server_id, 10**12, frozenset([lost]))
    )


def test_a_block_is_the_same_subject_in_prompts_of_any_length():
    short = _prompt_quarantine.list_subjects(make_request(*range(10)))
    long = _prompt_quarantine.list_subjects(make_request(*range(500)))
    assert long[:10] == short
    assert len(long) == _prompt_quarantine.MAX_SUBJECTS


def test_a_block_is_judged_for_each_service_apart():
    subjects = {
        _prompt_quarantine.list_subjects(make_request(1, service=service))
        for service in ("pitchwriter", "vergedesk")
    }
    assert len(subjects) == 2


# Guards against items that the membership drops as too large.
def test_items_of_a_crash_fit_into_the_membership():
    quarantine = make_quarantine("n" * 60)
    request = make_request(*range(2**60, 2**60 + 64))
    for number in range(3):
        lose(quarantine, request, f"{number}{'s' * 100}", 10 * number * SECOND)
    items = quarantine.take_items(30 * SECOND)
    sent = set()
    for _, update, _ in items:
        name, payload = schema.encode(update)
        size = len(name) + 1 + len(payload)
        assert size <= membership.MembershipTiming().max_item_bytes
        for crash in update.crashes:
            sent |= {subject.key for subject in crash.subjects}
    subjects = _prompt_quarantine.list_subjects(request)
    assert sent == {subject.key for subject in subjects}


# Guards against an entry VM that starts later and sends to the next server.
def test_an_entry_vm_that_started_later_refuses_the_block():
    quarantine = make_quarantine()
    for number in range(3):
        lose(quarantine, make_request(1, 2), f"s{number}", number * SECOND)
    late = make_quarantine("e2")
    items = quarantine.take_items(4 * SECOND)
    blames = [update for _, update, _ in items if update.blames]
    assert blames
    for update in blames:
        late.merge(update, 4 * SECOND)
    for entry in (quarantine, late):
        with pytest.raises(retries.ConvictedError):
            entry.check(make_request(1, 2, 9), 5 * SECOND)
        entry.check(make_request(1, 9), 5 * SECOND)


def test_age_of_an_item_is_the_part_of_its_ttl_that_has_passed():
    update = messages.QuarantineUpdate(
        [], [], [messages.ClearRecord("part/1", 0)]
    )
    ttl_ms = _prompt_quarantine.CLEAR_TTL // MS
    item = messages.Item("quarantine", "k", b"", 1, ttl_ms - 700)
    assert _prompt_quarantine.compute_age(item, update) == 700 * MS


# Guards against blaming blocks of long answers for each crash that ends them.
@pytest.mark.parametrize("has_continued", [False, True])
def test_block_of_an_answer_that_had_gone_on_is_not_blamed(has_continued):
    async def scenario():
        components = fakes.make_components(fakes.ScriptedBackend())
        monitor = components.crash_monitor
        assert isinstance(monitor, _crash_monitor.CrashMonitorTask)
        for number in range(3):
            now = monitor.clock.monotonic()
            progress = _attempt_progress.AttemptProgress(now)
            progress.has_continued = has_continued
            record = _records.server(f"s{number}")
            monitor.on_connection_lost(
                record,
                make_request(1, fingerprint=f"f{number}"),
                True,
                progress,
            )
            monitor.on_connect_refused(f"s{number}")
            await monitor.clock.sleep(2 * SECOND)
        try:
            monitor.check(make_request(1))
        except retries.ConvictedError:
            return True
        return False

    assert fakes.run(scenario()) is not has_continued
