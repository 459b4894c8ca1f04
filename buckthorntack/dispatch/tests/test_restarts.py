"""Servers that may have started again."""

import math
import random

import pytest

from buckthorntack import dispatch
from buckthorntack.directives.tests import _documents
from buckthorntack.dispatch import _restarts
from buckthorntack.dispatch.tests import _world
from buckthorntack.schema import messages

WARMUP_S = 3.0
UNIX_MS = 1_700_000_000_000
#: Longest time for which a connection is kept idle, in seconds, and number of
#: reasons for ends of idle connections that can be told apart within it: up to
#: the age at which the share is the larger tolerance, and above it.
MAX_IDLE_S = 4.0
SHARE_FROM_S = _restarts.SAME_IDLE_S / _restarts.SAME_IDLE_SHARE
MAX_QUESTIONS = (
    1
    + SHARE_FROM_S / _restarts.SAME_IDLE_S
    + math.log(MAX_IDLE_S / SHARE_FROM_S)
    / math.log(1 + _restarts.SAME_IDLE_SHARE)
)


def make_watch():
    return dispatch.RestartWatch()


def fail(watch, now_s, server_id="s1"):
    unix_ms = UNIX_MS + int(now_s * 1e3)
    return watch.on_failure(server_id, now_s, unix_ms)


def connect(watch, now_s, server_id="s1"):
    return watch.on_connected(server_id, now_s, WARMUP_S, now_s)


def ask(watch, now_s):
    [check] = watch.take_due_checks(lambda server_id: True, now_s)
    return check


def answer(watch, check, now_s, cold_left_s=0.0):
    return watch.on_answer(check, cold_left_s, now_s)


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
    fail(watch, 8.05)
    assert not answer(watch, check, 8.1)
    assert watch.is_cold("s1", 20.0)


def test_connections_of_the_same_end_are_one_failure():
    watch = make_watch()
    assert fail(watch, 7.0)
    version = ask(watch, 7.0).version
    assert not fail(watch, 7.0 + 0.9 * _restarts.SAME_END_S)
    assert connect(watch, 7.1)
    assert not connect(watch, 7.2)
    assert ask(watch, 8.0).version == version


# Guards against a flood after a second crash that is seen while the first is
# not cleared up: an answer from between the two ended the suspicion.
def test_failure_during_a_suspicion_is_newer_than_it():
    first, second = make_watch(), make_watch()
    fail(first, 7.0)
    first.tell("s1")
    exchange_all(first, second, 7.0)
    check = ask(first, 7.1)
    assert answer(first, check, 7.1)
    fail(second, 7.2)
    exchange_all(first, second, 7.25)
    assert second.is_suspected("s1", 7.25)
    exchange_all(second, first, 7.3)
    assert first.is_suspected("s1", 7.3)


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


def list_checks(watch, may_send, now_s):
    return watch.take_due_checks(lambda server_id: may_send, now_s)


def list_questions(watch, may_send, now_s):
    checks = list_checks(watch, may_send, now_s)
    return [check for check in checks if check.asks]


# Guards against health checks of all entry VMs at once, which flood the cold
# server that they shall protect.
def test_only_entry_vms_with_a_part_of_the_cold_rate_ask():
    watch = make_watch()
    fail(watch, 7.0)
    assert list_checks(watch, None, 7.0) == []
    [check] = list_checks(watch, None, 7.0 + _restarts.PATIENCE_S)
    assert not check.asks
    assert list_checks(watch, None, 7.1 + _restarts.PATIENCE_S) == []


def test_check_waits_for_its_part_of_the_cold_rate():
    watch = make_watch()
    fail(watch, 7.0)
    assert list_questions(watch, False, 7.0 + _restarts.PATIENCE_S) == []
    assert list_questions(watch, True, 7.1 + _restarts.PATIENCE_S)


# Guards against a server that fails its health path and gets no request, as
# the checks use up the rate of a cold one.
def test_checks_without_an_answer_become_fewer():
    watch = make_watch()
    fail(watch, 7.0)
    checks = 0
    for step in range(300):
        now_s = 7.0 + step * 0.01
        for check in list_questions(watch, True, now_s):
            checks += 1
            assert not answer(watch, check, now_s, None)
    assert checks == 2


# Guards against a sound server that is throttled for the time of a warm-up, as
# its health path does not answer.
@pytest.mark.parametrize("opened_s, sent_s", [(6.0, 6.5), (7.5, 8.0)])
def test_answers_that_a_later_start_can_give_end_nothing(opened_s, sent_s):
    watch = make_watch()
    fail(watch, 7.0)
    assert not watch.on_request_answered("s1", opened_s, sent_s, 0.0, 8.1)
    assert watch.is_suspected("s1", 8.1)


@pytest.mark.parametrize("cold_left_s", [0.0, 1.5])
def test_answer_on_a_connection_from_before_the_failure(cold_left_s):
    watch = make_watch()
    fail(watch, 7.0)
    assert watch.on_request_answered("s1", 6.0, 7.5, cold_left_s, 7.6)
    assert not watch.is_suspected("s1", 7.6)
    assert watch.is_cold("s1", 7.7) == (cold_left_s > 0)


# Guards against news that a relay passes over, as it has a suspicion of its
# own that it tells nobody.
def test_news_pass_an_entry_vm_that_tells_nothing_itself():
    relay, other = make_watch(), make_watch()
    fail(relay, 7.5)
    fail(other, 7.0)
    other.tell("s1")
    assert exchange_all(other, relay, 7.6) == ["s1"]
    assert [one.is_suspected for one in relay.list_statements(7.6)] == [True]


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


def close_idle(watch, idle_s, now_s):
    unix_ms = UNIX_MS + int(now_s * 1e3)
    return watch.is_unusual_close("s1", idle_s) and watch.on_failure(
        "s1", now_s, unix_ms, idle_s
    )


# Guards against a flood of a server that started again at once while its
# connections were idle, so that nobody was refused.
def test_server_that_closes_an_idle_connection_is_suspected():
    watch = make_watch()
    assert close_idle(watch, 0.5, 7.0)
    assert watch.is_cold("s1", 7.0)


@pytest.mark.parametrize("is_told_by_others", [False, True])
def test_usual_end_of_idle_connections_tells_nothing(is_told_by_others):
    watch = make_watch()
    close_idle(watch, 2.0, 7.0)
    if is_told_by_others:
        told = messages.ServerRestart("s1", UNIX_MS + 7_020, False, 0)
        watch.merge([told], 7.1)
    else:
        answer(watch, ask(watch, 7.0), 7.1)
    assert not watch.is_cold("s1", 7.1)
    assert not close_idle(watch, 2.1, 8.0)
    assert close_idle(watch, 0.1, 8.0)
    watch.expire(8.0 + _restarts.KEPT_S)
    connect(watch, 8.1)
    assert close_idle(watch, 2.1, 9.0 + _restarts.KEPT_S)


# Guards against a flood after a crash that ended idle connections only, as one
# that had ended right after an answer made all of them tell nothing.
@pytest.mark.parametrize("age_s", [0.03, 0.8])
def test_usual_end_of_an_idle_connection_hides_no_crash(age_s):
    watch = make_watch()
    assert close_idle(watch, 0.001, 7.0)
    assert answer(watch, ask(watch, 7.0), 7.1)
    assert not close_idle(watch, 0.003, 7.5)
    assert close_idle(watch, age_s, 9.0)
    assert watch.is_suspected("s1", 9.0)


# Guards against a question for each connection that a sound server closes.
def test_ends_of_idle_connections_lead_to_few_questions():
    watch = make_watch()
    rng = random.Random(0)
    questions = 0
    for number in range(400):
        now_s = 7.0 + 0.02 * number
        if close_idle(
            watch, rng.choice((rng.uniform(0.0, MAX_IDLE_S), 0.3)), now_s
        ):
            questions += 1
            assert answer(watch, ask(watch, now_s), now_s)
    assert questions <= MAX_QUESTIONS


def test_second_start_of_a_cold_server_is_suspected():
    watch = make_watch()
    close_idle(watch, 0.5, 7.0)
    assert answer(watch, ask(watch, 7.0), 7.0, 3.0)
    assert close_idle(watch, 0.5, 9.5)
    assert watch.is_suspected("s1", 12.0)


# Guards against a flood by an entry VM that starts while a server is away, and
# takes the record of its former start for its state.
def test_first_records_count_as_cold_until_others_have_told():
    watch = make_watch()
    watch.on_start()
    watch.on_first_record("s1", 7.0)
    assert watch.is_cold("s1", 7.1)
    assert watch.is_unknown("s1", 7.1)
    assert not watch.list_statements(7.1)
    watch.on_informed()
    assert not watch.is_cold("s1", 7.1)


def test_what_others_tell_of_a_server_outlives_the_start():
    watch = make_watch()
    watch.on_start()
    watch.on_first_record("s1", 7.0)
    watch.merge([messages.ServerRestart("s1", 5, False, 2000)], 7.1)
    watch.on_informed()
    assert watch.is_cold("s1", 9.0)
    assert not watch.is_unknown("s1", 7.1)


def test_entry_vm_that_hears_of_no_other_asks_by_itself():
    watch = make_watch()
    watch.on_start()
    watch.on_first_record("s1", 7.0)
    assert not watch.take_due_checks(lambda server_id: True, 7.1)
    check = ask(watch, 7.0 + _restarts.START_GRACE_S)
    assert answer(watch, check, 7.3)
    assert not watch.is_cold("s1", 7.3)
    watch.expire(7.0 + _restarts.START_PERIOD_S)
    assert watch.is_informed
    assert watch.knows_all(7.0 + _restarts.START_PERIOD_S)


# Guards against requests that wait at each start of an entry VM for a server
# that does not answer.
def test_requests_wait_for_a_short_time_for_an_unknown_server():
    watch = make_watch()
    watch.on_start()
    watch.on_first_record("s1", 7.0)
    late_s = 7.0 + _restarts.UNKNOWN_S
    assert watch.is_unknown("s1", late_s - 0.01)
    assert not watch.is_unknown("s1", late_s)
    assert watch.is_cold("s1", late_s)


# Guards against a flood some seconds after the start of an entry VM that heard
# of no other one, by which time it took each record for news.
def test_server_that_nobody_has_asked_stays_unknown():
    watch = make_watch()
    watch.on_start()
    watch.on_first_record("s1", 7.0)
    late_s = 7.0 + _restarts.START_PERIOD_S
    watch.expire(late_s)
    assert watch.is_cold("s1", late_s)
    assert not watch.knows_all(late_s)
    connect(watch, late_s)
    assert watch.is_cold("s1", late_s + WARMUP_S - 0.01)
    assert not watch.is_cold("s1", late_s + WARMUP_S)
    assert watch.knows_all(late_s + WARMUP_S)


# Guards against a flood by an entry VM that had to wait for control VMs, as
# its time to learn of servers was over when it got their records.
def test_time_to_learn_of_servers_begins_with_their_records():
    watch = make_watch()
    watch.on_start()
    watch.expire(20.0)
    watch.on_first_record("s1", 20.0)
    assert watch.is_cold("s1", 20.1)
    assert not watch.is_informed


def test_failure_after_the_start_is_told():
    watch = make_watch()
    watch.on_start()
    watch.on_first_record("s1", 7.0)
    assert not watch.tell("s1")
    assert fail(watch, 7.1)
    assert watch.tell("s1")
    watch.on_informed()
    assert watch.is_suspected("s1", 7.2)


def test_later_records_are_taken_as_they_are():
    watch = make_watch()
    watch.on_start()
    watch.on_informed()
    watch.on_first_record("s1", 7.2)
    assert not watch.is_cold("s1", 7.2)


def end_evacuation(watch, now_s, asks=True):
    unix_ms = UNIX_MS + int(now_s * 1e3)
    return watch.on_evacuation_ended("s1", now_s, unix_ms, asks)


# Guards against servers that stay limited after an evacuation at an entry VM
# which learnt of its end after another one had been answered.
def test_answer_after_an_evacuation_holds_for_all():
    first, second = make_watch(), make_watch()
    fail(second, 1.0)
    assert answer(second, ask(second, 1.1), 1.2)
    end_evacuation(first, 40.0)
    assert answer(first, ask(first, 40.0), 40.1, 2.5)
    end_evacuation(second, 40.3)
    assert not exchange_all(second, first, 40.3)
    assert exchange_all(first, second, 40.3) == ["s1"]
    assert not second.is_suspected("s1", 40.3)
    assert second.is_cold("s1", 42.5)
    assert not second.is_cold("s1", 42.7)


# Guards against the same at one that asks nobody, and learns of the end after
# it was told the answer.
@pytest.mark.parametrize("asks", [False, True])
def test_answer_may_be_told_before_the_end_of_an_evacuation(asks):
    first, second = make_watch(), make_watch()
    end_evacuation(first, 40.0)
    assert answer(first, ask(first, 40.0), 40.1, 2.5)
    exchange_all(first, second, 40.2)
    late_s = 40.3 + _restarts.EVACUATION_LAG_S
    assert end_evacuation(second, 40.3, asks) == asks
    assert end_evacuation(make_watch(), 40.3, asks)
    assert end_evacuation(second, late_s, asks) != asks


# Guards against a flood after an evacuation, as what a server had said of its
# warm-up before, which others go on telling, was taken for its state.
def test_answer_from_before_an_evacuation_tells_nothing():
    first, second = make_watch(), make_watch()
    fail(first, 7.0)
    assert answer(first, ask(first, 7.0), 7.1)
    exchange_all(first, second, 7.2)
    end_evacuation(second, 9.0)
    assert not exchange_all(first, second, 9.1)
    assert second.is_suspected("s1", 9.1)


def test_failure_after_an_evacuation_is_told():
    watch = make_watch()
    end_evacuation(watch, 7.0)
    assert not watch.tell("s1")
    assert not watch.knows_all(7.1)
    assert fail(watch, 7.2)
    assert watch.tell("s1")


def break_one(watch, now_s):
    unix_ms = UNIX_MS + int(now_s * 1e3)
    return watch.on_failure("s1", now_s, unix_ms, is_mild=True)


# Guards against sound servers that lose their share when single connections
# break, as those that spoil some of their answers.
def test_server_that_is_reached_after_a_connection_broke_is_only_asked():
    watch = make_watch()
    assert break_one(watch, 7.0)
    assert watch.is_cold("s1", 7.0)
    assert not connect(watch, 7.01)
    assert not watch.is_cold("s1", 7.01)
    [check] = list_questions(watch, True, 7.02)
    assert answer(watch, check, 7.05, 2.9)
    assert watch.is_cold("s1", 7.05)


def test_refused_connect_after_a_connection_broke_is_a_suspicion():
    watch = make_watch()
    break_one(watch, 7.0)
    assert fail(watch, 7.01)
    assert watch.tell("s1")
    connect(watch, 8.0)
    assert watch.is_cold("s1", 8.0)


def test_connection_that_broke_does_not_weaken_a_suspicion():
    watch = make_watch()
    fail(watch, 7.0)
    break_one(watch, 7.5)
    connect(watch, 8.0)
    assert watch.is_cold("s1", 8.0)


def test_suspicion_of_others_outweighs_a_connection_that_broke():
    watch, other = make_watch(), make_watch()
    fail(other, 7.0)
    other.tell("s1")
    break_one(watch, 7.1)
    connect(watch, 7.15)
    assert exchange_all(other, watch, 7.2) == ["s1"]
    assert watch.is_suspected("s1", 7.2)


def test_questions_after_a_connection_broke_end():
    watch = make_watch()
    break_one(watch, 7.0)
    connect(watch, 7.01)
    assert watch.has_suspects(7.5)
    assert not watch.has_suspects(7.0 + _restarts.INQUIRY_S)


# Guards against a failure that is taken for an old one, as the entry VM that
# saw it has just started and its clock is behind.
def test_failure_told_by_a_clock_behind_is_newer_than_an_earlier_answer():
    first, fresh = make_watch(), make_watch()
    fail(first, 7.0)
    first.tell("s1")
    answer(first, ask(first, 7.0), 7.1)
    fresh.on_failure("s1", 8.0, UNIX_MS + 6_000)
    fresh.tell("s1")
    exchange_all(fresh, first, 8.1)
    exchange_all(first, fresh, 8.3)
    assert fresh.is_cold("s1", 8.3)
    assert first.is_cold("s1", 8.4)


# Guards against an answer of the former start that replaces one of the next
# start, as the entry VM that got the former has a clock that is ahead.
def test_answer_of_a_clock_ahead_is_older_than_one_after_a_later_failure():
    ahead, sound = make_watch(), make_watch()
    ahead.on_failure("s1", 7.0, UNIX_MS + 7_500)
    ahead.tell("s1")
    check = ask(ahead, 7.0)
    exchange_all(ahead, sound, 7.01)
    connect(sound, 7.02)
    assert answer(ahead, check, 7.05)
    fail(sound, 7.12)
    check = ask(sound, 7.13)
    connect(sound, 7.13)
    assert answer(sound, check, 7.15, 2.9)
    exchange_all(ahead, sound, 7.20)
    assert sound.is_cold("s1", 7.20)


# Guards against a check that fails, as a service no longer limits the rate of
# cold servers.
def test_check_of_a_service_without_a_rate_is_counted_for_nothing():
    world = _world.World()
    world.add_server("s1")
    record = world.registry.servers["s1"].record
    service = _documents.service(warmup_per_s=0.0)
    world.dispatcher.on_server_asked(record, service, world.now_s)


# Guards against a server that has said that it is cold, and counts as warm
# once one of its connections breaks and another opens.
def test_connection_that_broke_does_not_end_what_the_server_said():
    watch = make_watch()
    fail(watch, 7.0)
    answer(watch, ask(watch, 7.0), 7.0, 2.9)
    break_one(watch, 8.0)
    connect(watch, 8.01)
    assert watch.is_cold("s1", 9.8)
    break_one(watch, 9.0)
    connect(watch, 9.01)
    assert watch.is_cold("s1", 9.8)
    assert not watch.is_cold("s1", 9.95)


def test_connection_that_broke_tells_nothing_of_an_unknown_server():
    watch = make_watch()
    watch.on_start()
    watch.on_first_record("s1", 7.0)
    break_one(watch, 7.1)
    connect(watch, 7.11)
    assert watch.is_cold("s1", 7.2)


def test_old_news_are_passed_over_after_a_connection_broke():
    watch, other = make_watch(), make_watch()
    fail(other, 7.0)
    other.tell("s1")
    suspicion = other.list_statements(7.0)
    watch.merge(suspicion, 7.0)
    answer(watch, ask(watch, 7.0), 7.1)
    break_one(watch, 8.0)
    connect(watch, 8.01)
    assert watch.merge(suspicion, 8.1) == []
    assert not watch.is_cold("s1", 8.1)


# Guards against a flood of a server that is back so soon that nobody was
# refused, where those whose connections broke have no part of the cold rate.
def test_others_ask_a_server_whose_connection_broke():
    watch, sender = make_watch(), make_watch()
    break_one(watch, 7.0)
    connect(watch, 7.01)
    watch.tell("s1")
    assert exchange_all(watch, sender, 7.05) == ["s1"]
    assert not sender.is_cold("s1", 7.05)
    [check] = list_questions(sender, True, 7.05)
    assert answer(sender, check, 7.06, 2.9)
    assert exchange_all(sender, watch, 7.1) == ["s1"]
    assert watch.is_cold("s1", 7.1)


def test_connection_of_others_that_broke_does_not_weaken_a_suspicion():
    watch, other = make_watch(), make_watch()
    fail(watch, 7.0)
    break_one(other, 7.1)
    other.tell("s1")
    exchange_all(other, watch, 7.2)
    connect(watch, 7.3)
    assert watch.is_cold("s1", 7.4)


# Guards against the answer of a start that is cold and has not announced
# itself, which ended a suspicion as if the start before had given it.
def test_answer_on_a_connection_to_a_start_that_said_it_is_cold():
    watch = make_watch()
    fail(watch, 7.0)
    answer(watch, ask(watch, 8.0), 8.0, 2.9)
    fail(watch, 9.0)
    assert watch.on_request_answered("s1", 8.5, 9.2, 0.0, 9.3)
    assert watch.is_cold("s1", 10.8)
    assert not watch.is_cold("s1", 10.95)


@pytest.mark.parametrize("is_mild", [False, True])
def test_answer_on_a_connection_from_between_two_failures(is_mild):
    watch = make_watch()
    if is_mild:
        break_one(watch, 7.0)
    else:
        fail(watch, 7.0)
    connect(watch, 8.0)
    fail(watch, 9.0)
    assert not watch.on_request_answered("s1", 8.5, 9.2, 0.0, 9.3)
    assert watch.is_suspected("s1", 9.3)


# Guards against an entry VM that starts and floods a cold server, as it was
# told of it before it had its record.
def test_news_of_servers_without_a_record_are_kept_after_a_start():
    known = set()
    watch = dispatch.RestartWatch(known.__contains__)
    watch.on_start()
    told = [messages.ServerRestart("s1", 5, False, 2900)]
    assert watch.merge(told, 7.1) == ["s1"]
    watch.on_informed()
    told = [messages.ServerRestart("s2", 5, True, 0)]
    assert watch.merge(told, 7.2) == ["s2"]
    known.update(("s1", "s2"))
    watch.on_first_record("s1", 7.3)
    assert watch.is_cold("s1", 7.3)
    assert watch.is_suspected("s2", 7.3)


def test_news_of_servers_that_never_get_a_record_are_deleted():
    watch = dispatch.RestartWatch(lambda server_id: False)
    watch.on_start()
    watch.merge([messages.ServerRestart("s1", 5, True, 0)], 7.1)
    watch.expire(7.2 + _restarts.KEPT_S)
    assert not watch.is_cold("s1", 7.2 + _restarts.KEPT_S)


# Guards against a sound server that keeps the rate of a cold one, as requests
# take each slot that a check waits for.
def test_requests_leave_the_next_slot_to_a_check():
    world = _world.World()
    world.add_server("s1")
    service = _documents.service(warmup_per_s=PER_S)
    request = world.make_request(service=service, can_forward=False)
    restarts = world.fleet.restarts
    view = world.registry.servers["s1"]
    fail(restarts, world.now_s)
    world.dispatcher.on_request_sent(request, view, world.now)
    asked = []
    for _ in range(100):
        world.now += 0.01 * _world.SECOND
        if isinstance(world.choose(request), dispatch.Serve):
            world.dispatcher.on_request_sent(request, view, world.now)

        def may_ask(server_id):
            return world.rates.may_ask(server_id, PER_S, world.now_s)

        for check in restarts.take_due_checks(may_ask, world.now_s):
            if check.asks:
                world.dispatcher.on_server_asked(
                    view.record, service, world.now_s
                )
                asked.append(world.now_s)
    assert asked
