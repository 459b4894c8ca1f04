"""Single decisions of the quarantine."""

import datetime
import itertools
import random

import pytest

from buckthorntack import quarantine

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
#: Time between two crashes that are no single event.
GAP = 300 * MS


def subjects(*part_ids, request="q"):
    """Subjects of a request with these shared parts."""
    return quarantine.list_subjects(request, part_ids)


def crash(table, number, now, *lost, ran_for=GAP / 2):
    """Let a server crash and wait until it is evaluated.

    :param lost: subjects of each lost attempt.
    :param ran_for: time since they were sent.
    """
    for attempt in lost:
        server = quarantine.Incarnation(f"s{number}", 1)
        table.on_attempt_lost(server, attempt, now - ran_for, now)
    table.check((), now + GAP / 2)


def blame(table, part="bad", start=SECOND):
    """Blame a part; return the time."""
    for number in range(3):
        now = start + number * GAP
        lost = subjects("first", part, request=f"{part}{number}")
        crash(table, number, now, lost)
    assert f"part/{part}" in table.list_blamed()
    return now + GAP


def is_refused(table, now, *part_ids):
    """Whether a new request with these shared parts is refused."""
    verdict = table.check(subjects(*part_ids, request="new"), now)
    return isinstance(verdict, quarantine.Refused)


# Guards against blame for the part that all prompts share.
def test_deepest_part_without_an_answer_is_blamed():
    table = quarantine.Quarantine("e1")
    now = blame(table)
    assert table.list_blamed() == ["part/bad"]
    assert is_refused(table, now, "first", "bad", "other")
    assert not is_refused(table, now, "first", "other")


# Guards against a crash that counts once for each request that it ended.
def test_crash_counts_once():
    table = quarantine.Quarantine("e1")
    lost = [subjects("bad", request=f"q{n}") for n in range(9)]
    crash(table, 1, SECOND, *lost)
    crash(table, 2, SECOND + GAP, *lost)
    assert table.list_blamed() == []


# Guards against blame for a part whose answers went on between crashes.
def test_answer_that_goes_on_clears_the_crashes_before():
    table = quarantine.Quarantine("e1")
    for number in range(12):
        now = SECOND + number * SECOND
        crash(table, number, now, subjects("first"))
        if number % 3 == 2:
            table.on_answer_continued(subjects("first"), now + GAP)
    assert table.list_blamed() == []


# Guards against blame after a loss of power, which ends many servers at once.
def test_crashes_of_one_moment_blame_nobody():
    table = quarantine.Quarantine("e1")
    for number in range(20):
        crash(table, number, SECOND + number * MS, subjects("first", "own"))
    assert table.list_blamed() == []


# Guards against a part that was sound before, then crashes servers, and is
# never blamed.
def test_part_that_was_sound_needs_more_crashes():
    table = quarantine.Quarantine("e1")
    table.on_answer_continued(subjects("first", "bad"), SECOND)
    blamed_after = []
    for number in range(6):
        now = 2 * SECOND + number * SECOND
        table.on_answer_continued(subjects("first"), now - GAP)
        crash(table, number, now, subjects("first", "bad", request=f"{now}"))
        blamed_after.append("part/bad" in table.list_blamed())
    assert blamed_after == [False] * 4 + [True] * 2
    assert table.list_blamed() == ["part/bad"]


def run_reports(order):
    """Blamed subjects after the reports of two entry VMs, in an order."""
    reports = []
    for number in range(4):
        now = SECOND + number * GAP
        for sender in ("e1", "e2"):
            table = quarantine.Quarantine(sender)
            part = "bad" if sender == "e1" else f"sound{number}"
            lost = subjects("first", part, request=f"{sender}{number}")
            if sender == "e2":
                table.on_answer_continued(subjects("first"), SECOND)
            crash(table, number, now, lost)
            reports.append((now, table.take_update(now)))
    receiver = quarantine.Quarantine("e3")
    now = 10 * SECOND
    for sent_at, update in order(reports):
        aged = [
            record._replace(age_ms=(now - sent_at) // MS)
            for record in update.crashes
        ]
        receiver.merge(update._replace(crashes=aged), now)
    receiver.check((), now + GAP)
    return sorted(receiver.list_blamed())


# Guards against a decision that depends on the order of reports.
@pytest.mark.parametrize("seed", range(20))
def test_reports_may_come_in_any_order_and_twice(seed):
    def shuffle(reports):
        reports = reports * 2
        random.Random(seed).shuffle(reports)
        return reports

    assert run_reports(shuffle) == ["part/bad"]


# Guards against a trial at each entry VM, each of which ends a server.
def test_one_entry_vm_sends_a_trial_when_it_is_due():
    names = [f"e{number}" for number in range(30)]
    tables = {name: quarantine.Quarantine(name) for name in names}
    now = blame(tables["e0"])
    update = tables["e0"].export(now)
    for table in tables.values():
        table.set_members(names)
        table.merge(update, now)
    tried = []
    trial_times = []
    due = quarantine.QuarantineSettings().trial_period
    for _ in range(900):
        now += 100 * MS
        for name, table in tables.items():
            verdict = table.check(subjects("first", "bad"), now)
            if not isinstance(verdict, quarantine.Trial):
                continue
            tried.append(name)
            trial_times.append(now)
            table.start_trial(verdict.key, now)
            update = table.take_update(now)
            for other in tables.values():
                other.merge(update, now)
    assert len(tried) == 2
    first, second = trial_times
    assert second - first >= 2 * due - GAP


# Guards against a part that stays refused at some entry VM after a trial.
def test_trial_that_goes_on_clears_the_part_everywhere():
    tables = [quarantine.Quarantine(name) for name in ("e1", "e2")]
    now = blame(tables[0])
    tables[1].merge(tables[0].take_update(now), now)
    stale = tables[0].export(now)
    assert is_refused(tables[1], now, "first", "bad")
    now += 30 * SECOND
    verdict = tables[0].check(subjects("first", "bad"), now)
    assert isinstance(verdict, quarantine.Trial)
    tables[0].start_trial(verdict.key, now)
    tables[0].on_answer_continued(subjects("first", "bad"), now + SECOND)
    now += SECOND
    tables[1].merge(tables[0].take_update(now), now)
    assert not is_refused(tables[0], now, "first", "bad")
    assert not is_refused(tables[1], now, "first", "bad")
    aged = [
        record._replace(age_ms=record.age_ms + 31_000)
        for record in stale.blames
    ]
    tables[1].merge(stale._replace(blames=aged), now)
    assert not is_refused(tables[1], now, "first", "bad")
    assert tables[0].digest() == tables[1].digest() != ""


# Guards against memory that grows with the number of distinct parts.
def test_memory_is_bounded_by_20000_distinct_parts_a_minute():
    settings = quarantine.QuarantineSettings(max_good=5000)
    table = quarantine.Quarantine("e1", settings)
    blame(table)
    numbers = itertools.count()
    for step in range(180):
        now = 4 * SECOND + step * SECOND
        for number in itertools.islice(numbers, 333):
            table.on_answer_continued(
                subjects(f"part{number}", request=f"q{number}"), now
            )
        lost = [
            subjects(f"lost{step}-{n}", request=f"l{step}-{n}")
            for n in range(50)
        ]
        crash(table, f"other{step}", now, *lost)
        table.expire(now)
        table.take_update(now)
        assert len(table) <= 2 * settings.max_good + settings.max_crashes + 2
    assert "part/bad" in table.list_blamed()
    assert is_refused(table, now, "first", "bad") or isinstance(
        table.check(subjects("first", "bad"), now), quarantine.Trial
    )


# Guards against a crash with more subjects than one message may hold, of
# which nothing tells the operator.
def test_subjects_beyond_the_limit_of_a_message_are_reported():
    settings = quarantine.QuarantineSettings(max_subjects_sent=10)
    table = quarantine.Quarantine("e1", settings)
    for number in range(20):
        table.on_answer_continued(subjects(f"good{number}"), SECOND)
    lost = [subjects(f"good{number}") for number in range(20)]
    crash(table, 1, 2 * SECOND, *lost, subjects("bad"))
    update = table.take_update(2 * SECOND)
    [record] = update.crashes
    assert len(record.subjects) == 10
    assert "part/bad" in [subject.key for subject in record.subjects]
    assert quarantine.SubjectsCut("s1", 12) in table.take_changes()


def lose(table, server, step):
    """Lose an attempt of the same request at a server.

    :param step: place in the sequence of attempts.
    """
    sent_at = SECOND + step * GAP
    incarnation = quarantine.Incarnation(server, 1)
    lost_at = sent_at + 2 * MS
    table.on_attempt_lost(incarnation, subjects(), sent_at, lost_at)


# Guards against a request that crashes one server after the other.
def test_crashing_request_is_refused_after_three_crashes():
    table = quarantine.Quarantine("e1")
    for server, step in (("a", 0), ("b", 1), ("b", 1), ("b", 1)):
        lose(table, server, step)
    now = SECOND + 2 * GAP
    assert isinstance(table.check(subjects(), now), quarantine.Admitted)
    lose(table, "c", 2)
    now += 2 * MS
    assert isinstance(table.check(subjects(), now), quarantine.Refused)
    now += GAP
    assert isinstance(table.check(subjects(), now), quarantine.Refused)
    assert table.list_blamed() == ["request/q"]


# A request that two servers had reset, one of which was sound again, was not
# sent on to that one after a further reset, if this took over 100 ms.
def test_whole_request_is_refused_from_its_callers_next_attempt_on():
    table = quarantine.Quarantine("e1")
    for number in range(3):
        now = SECOND + number * GAP
        crash(table, number, now, subjects("a", request="q"))
        table.on_answer_continued(subjects("a", request="r"), now + GAP / 2)
    assert table.list_blamed() == ["request/q"]
    lost = subjects("a", request="q")
    retry = table.check(lost, now + GAP, is_retry=True)
    assert isinstance(retry, quarantine.Admitted)
    assert isinstance(table.check(lost, now + GAP), quarantine.Refused)


# Guards against crashes that count after an equal request was answered.
def test_answered_request_is_cleared_of_crashes():
    table = quarantine.Quarantine("e1")
    for step, server in enumerate("ab"):
        lose(table, server, step)
    table.on_answer_continued(subjects(), SECOND + 2 * GAP)
    lose(table, "c", 2)
    now = SECOND + 3 * GAP
    assert isinstance(table.check(subjects(), now), quarantine.Admitted)


# Guards against a request that is repeated at servers which reset its
# connections and go on, and that counts once for each of them.
def test_repeated_resets_of_one_incarnation_count():
    table = quarantine.Quarantine("e1")
    lost = subjects("first", "bad")
    for number in range(3):
        now = SECOND + number * 4 * MS
        server = quarantine.Incarnation("s1", 1)
        table.on_attempt_lost(server, lost, now - 2 * MS, now)
        verdict = table.check(lost, now + MS)
        is_last = number == 2
        assert isinstance(verdict, quarantine.Refused) is is_last
