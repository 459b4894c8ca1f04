"""Servers that may have started again."""

import pytest

from buckthorntack import dispatch
from buckthorntack.directives.tests import _documents
from buckthorntack.dispatch import _restarts
from buckthorntack.dispatch.tests import _world
from buckthorntack.schema import messages

WARMUP_S = 3.0
UNIX_MS = 1_700_000_000_000


def make_watch():
    return dispatch.RestartWatch()


def fail(watch, now_s, opened_s=None, server_id="s1"):
    opened_s = now_s if opened_s is None else opened_s
    unix_ms = UNIX_MS + int(now_s * 1e3)
    return watch.on_failure(server_id, opened_s, now_s, unix_ms)


def connect(watch, now_s, server_id="s1"):
    watch.on_connected(server_id, now_s, WARMUP_S, now_s)


def ask(watch, now_s):
    [check] = watch.take_due_checks(lambda server_id: True, now_s)
    return check


def answer(watch, check, now_s, cold_left_s=0.0):
    unix_ms = UNIX_MS + int(now_s * 1e3)
    return watch.on_answer(check, cold_left_s, now_s, unix_ms)


def test_server_is_not_cold_without_a_failure():
    watch = make_watch()
    connect(watch, 1.0)
    assert not watch.is_cold("s1", 1.0)
    assert not watch.has_suspects(1.0)


# Guards against a flood of a server that is back under its old id: what its
# former start announced was taken for its state.
def test_server_is_cold_after_a_failure_until_it_must_have_warmed_up():
    watch = make_watch()
    assert fail(watch, 7.0)
    assert watch.is_cold("s1", 20.0)
    connect(watch, 20.0)
    assert watch.is_cold("s1", 20.0 + WARMUP_S - 0.01)
    assert not watch.is_cold("s1", 20.0 + WARMUP_S)
    assert not watch.has_suspects(20.0 + WARMUP_S)


@pytest.mark.parametrize("cold_left_s", [0.0, 2.5])
def test_answer_of_the_server_holds(cold_left_s):
    watch = make_watch()
    fail(watch, 7.0)
    check = ask(watch, 8.0)
    connect(watch, 8.0)
    assert answer(watch, check, 8.1, cold_left_s)
    assert not watch.is_suspected("s1", 8.1)
    assert watch.is_cold("s1", 8.1) == (cold_left_s > 0)
    assert not watch.is_cold("s1", 8.1 + cold_left_s)


def test_answer_from_before_a_newer_failure_ends_nothing():
    watch = make_watch()
    fail(watch, 7.0)
    check = ask(watch, 8.0)
    connect(watch, 8.0)
    assert fail(watch, 8.05)
    assert not answer(watch, check, 8.1)
    assert watch.is_cold("s1", 20.0)


def test_connections_of_the_same_end_are_one_failure():
    watch = make_watch()
    assert fail(watch, 7.0, opened_s=3.0)
    connect(watch, 7.5)
    assert not fail(watch, 7.6, opened_s=4.0)
    assert not watch.is_cold("s1", 7.5 + WARMUP_S)


def test_connection_that_was_begun_before_the_failure_shows_no_return():
    watch = make_watch()
    fail(watch, 7.0)
    watch.on_connected("s1", 6.9, WARMUP_S, 7.1)
    assert watch.is_cold("s1", 20.0)


def exchange_all(sender, receiver, now_s):
    return receiver.merge(sender.list_statements(now_s), now_s)


# Guards against a flood by entry VMs that had no connection to a server, and
# did not notice that it was away.
def test_others_learn_of_a_failure_and_of_its_end():
    first, second = make_watch(), make_watch()
    fail(first, 7.0)
    assert exchange_all(first, second, 7.0) == []
    assert first.tell("s1")
    assert not first.tell("s1")
    assert exchange_all(first, second, 7.05) == ["s1"]
    assert second.is_suspected("s1", 7.05)
    check = ask(second, 8.2)
    connect(second, 8.2)
    assert answer(second, check, 8.21, 2.9)
    assert exchange_all(second, first, 8.3) == ["s1"]
    assert not first.is_suspected("s1", 8.3)
    assert first.is_cold("s1", 11.0)
    assert not first.is_cold("s1", 11.2)


def test_old_news_are_passed_over():
    first, second = make_watch(), make_watch()
    fail(first, 7.0)
    first.tell("s1")
    suspicion = first.list_statements(7.0)
    second.merge(suspicion, 7.0)
    check = ask(second, 8.0)
    answer(second, check, 8.0)
    assert second.merge(suspicion, 8.1) == []
    assert not second.is_cold("s1", 8.1)


# Guards against an answer from before a second crash that is told after it, by
# an entry VM whose clock is ahead.
def test_answer_that_is_told_right_after_a_failure_ends_nothing():
    watch = make_watch()
    fail(watch, 9.0)
    told = messages.ServerRestart("s1", UNIX_MS + 60_000, False, 0)
    assert watch.merge([told], 9.0 + 0.9 * _restarts.REPORT_DELAY_S) == ["s1"]
    assert watch.is_suspected("s1", 9.2)
    [statement] = watch.list_statements(9.2)
    assert statement.is_suspected
    assert statement.version > told.version


def test_failure_overrides_an_answer_of_the_same_version():
    watch = make_watch()
    watch.merge([messages.ServerRestart("s1", 5, False, 0)], 1.0)
    assert watch.merge([messages.ServerRestart("s1", 5, True, 0)], 1.0)
    assert watch.is_suspected("s1", 1.0)


def test_statements_on_unknown_servers_are_passed_over():
    watch = dispatch.RestartWatch(lambda server_id: False)
    assert not watch.merge([messages.ServerRestart("s1", 5, True, 0)], 1.0)
    assert not watch.is_cold("s1", 1.0)


def test_only_senders_check_at_once():
    watch = make_watch()
    watch.merge([messages.ServerRestart("s1", 5, True, 0)], 1.0)

    def checks(now_s):
        return watch.take_due_checks(lambda server_id: False, now_s)

    assert checks(1.0) == []
    assert [check.server_id for check in checks(1.0 + _restarts.PATIENCE_S)]
    assert checks(1.1 + _restarts.PATIENCE_S) == []


def test_failure_that_only_this_entry_vm_knows_is_checked_at_once():
    watch = make_watch()
    fail(watch, 7.0)
    assert watch.take_due_checks(lambda server_id: False, 7.0)


def test_what_is_over_is_deleted_and_told_no_longer():
    watch = make_watch()
    fail(watch, 7.0)
    watch.tell("s1")
    answer(watch, ask(watch, 7.1), 7.1)
    assert watch.list_statements(7.1 + 0.9 * _restarts.TOLD_S)
    assert not watch.list_statements(7.2 + _restarts.TOLD_S)
    watch.expire(7.2 + _restarts.KEPT_S)
    assert fail(watch, 8.0 + _restarts.KEPT_S)


def test_server_that_goes_is_forgotten():
    watch = make_watch()
    fail(watch, 7.0)
    watch.remove_server("s1")
    assert not watch.is_cold("s1", 7.0)


PER_S = 5.1
OVERRUN, SLACK = 1.5, 3


def most_in_a_second(times):
    return max(
        sum(start <= time < start + 1.0 for time in times) for start in times
    )


# Guards against a server that is back under its old id and gets its share as
# if it were warm, as it has announced nothing since.
def test_server_that_is_back_unannounced_gets_the_rate_of_a_cold_one():
    world = _world.World()
    world.add_server("s1")
    request = world.make_request(
        service=_documents.service(warmup_per_s=PER_S), can_forward=False
    )
    assert isinstance(world.choose(request), dispatch.Serve)
    fail(world.fleet.restarts, world.now_s)
    sent = []
    for _ in range(200):
        world.now += 0.01 * _world.SECOND
        connect(world.fleet.restarts, world.now_s)
        if isinstance(world.choose(request), dispatch.Serve):
            view = world.registry.servers["s1"]
            world.dispatcher.on_request_sent(request, view, world.now)
            sent.append(world.now_s)
    assert sent
    assert most_in_a_second(sent) <= PER_S * OVERRUN + SLACK
    world.now += WARMUP_S * _world.SECOND
    for _ in range(20):
        assert isinstance(world.choose(request), dispatch.Serve)


# Guards against requests that were chosen for a warm server, waited for a
# connection while it was away, and reached it all at once when it was back.
def test_requests_that_waited_for_a_connection_keep_the_rate():
    world = _world.World()
    world.add_server("s1")
    request = world.make_request(
        service=_documents.service(warmup_per_s=PER_S)
    )
    view = world.registry.servers["s1"]
    fail(world.fleet.restarts, world.now_s)
    connect(world.fleet.restarts, world.now_s)
    sent = [
        world.dispatcher.may_still_send(request, view, False, world.now)
        for _ in range(20)
    ]
    assert sent.count(True) == 1
    assert world.dispatcher.may_still_send(request, view, True, world.now)


def test_answer_that_is_told_by_a_sound_clock_ends_the_suspicion():
    watch = make_watch()
    fail(watch, 9.0)
    told = messages.ServerRestart("s1", UNIX_MS + 9_040, False, 0)
    assert watch.merge([told], 9.05) == ["s1"]
    assert not watch.is_suspected("s1", 9.05)


@pytest.mark.parametrize("cold_left_s", [0.0, 2.9])
def test_inquiry_finds_a_start_that_nobody_noticed(cold_left_s):
    watch = make_watch()
    assert watch.may_inquire("s1", 7.0)
    assert not watch.may_inquire("s1", 7.5)
    assert not watch.is_cold("s1", 7.5)
    unix_ms = UNIX_MS + 7_500
    is_news = watch.on_inquiry_answer("s1", cold_left_s, 7.5, unix_ms)
    assert is_news == (cold_left_s > 0)
    assert watch.is_cold("s1", 7.6) == (cold_left_s > 0)
    assert len(watch.list_statements(7.6)) == (cold_left_s > 0)


def test_server_that_counts_as_cold_is_not_inquired():
    watch = make_watch()
    fail(watch, 7.0)
    assert not watch.may_inquire("s1", 7.5)
    unix_ms = UNIX_MS + 7_500
    assert not watch.on_inquiry_answer("s1", 1.0, 7.5, unix_ms)
    assert watch.is_suspected("s1", 7.5)
