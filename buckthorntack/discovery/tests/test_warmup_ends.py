"""No registry takes a server as warm that said last that it is cold."""

import datetime
import random

import pytest

from buckthorntack import discovery
from buckthorntack.discovery.tests import _records

MS = datetime.timedelta(milliseconds=1)
S = 1000 * MS
NOW = 100 * S
STEP = 20 * MS
HEARTBEAT = 1200 * MS
REPORT_INTERVAL = 800 * MS
FLUSH_PERIOD = 100 * MS
TIMING = discovery.Timing()


def make_registry(epoch=1):
    return discovery.Registry(epoch, TIMING, NOW)


def follow(registry, copy, stamp, now):
    changes = registry.changes_since(stamp, now)
    copy.adopt_changes(changes, now)
    return changes.stamp


def test_server_that_becomes_cold_again_is_cold_until_the_new_end():
    registry, copy = make_registry(1), make_registry(2)
    registry.merge_server(_records.server(cold_left_ms=1000), NOW)
    stamp = follow(registry, copy, 0, NOW)
    again = _records.server(sequence=2, cold_left_ms=1200)
    assert registry.merge_server(again, NOW + 500 * MS)
    follow(registry, copy, stamp, NOW + 500 * MS)
    for known in (registry, copy):
        assert known.servers["s1"].is_cold(NOW + 1690 * MS)
        assert not known.servers["s1"].is_cold(NOW + 2 * S)


def test_end_that_a_late_announcement_put_off_is_corrected():
    registry, copy = make_registry(1), make_registry(2)
    late = NOW + 2 * S
    registry.merge_server(_records.server(cold_left_ms=3000), late)
    stamp = follow(registry, copy, 0, late)
    prompt = _records.server(sequence=2, cold_left_ms=600)
    assert registry.merge_server(prompt, late + 400 * MS)
    follow(registry, copy, stamp, late + 400 * MS)
    for known in (registry, copy):
        assert known.servers["s1"].is_cold(NOW + 2990 * MS)
        assert not known.servers["s1"].is_cold(NOW + 3200 * MS)


def test_follower_that_comes_later_is_told_no_earlier_end():
    """It holds for announcements that were no news as well."""
    registry, copy = make_registry(1), make_registry(2)
    registry.merge_server(_records.server(cold_left_ms=1000), NOW)
    for sequence, left_ms in ((2, 500), (3, 450)):
        now = NOW + (50 + 250 * sequence) * MS
        record = _records.server(sequence=sequence, cold_left_ms=left_ms)
        registry.merge_server(record, now)
        if sequence == 2:
            stamp = follow(registry, copy, 0, now)
    follow(registry, copy, stamp, now)
    assert copy.servers["s1"].is_cold(now + 449 * MS)


def test_follower_of_another_control_vm_keeps_the_later_end():
    """What that one holds for no news the follower must have as well."""
    first, second, copy = (make_registry(epoch) for epoch in (1, 2, 3))
    second.merge_server(_records.server(cold_left_ms=3000), NOW)
    first.merge_server(_records.server(sequence=2, cold_left_ms=1500), NOW)
    follow(first, copy, 0, NOW)
    stamp = follow(second, copy, 0, NOW)
    again = _records.server(sequence=3, cold_left_ms=2900)
    second.merge_server(again, NOW + 50 * MS)
    follow(second, copy, stamp, NOW + 50 * MS)
    assert copy.servers["s1"].is_cold(NOW + 2940 * MS)


def test_relayed_end_covers_what_was_no_news_at_its_sender():
    sender, receiver = make_registry(1), make_registry(2)
    receiver.merge_server(_records.server(cold_left_ms=2950), NOW)
    for sequence, left_ms in ((2, 3000), (3, 3090)):
        record = _records.server(sequence=sequence, cold_left_ms=left_ms)
        sender.merge_server(record, NOW)
    receiver.merge_changes(sender.changes_since(0, NOW), NOW)
    assert receiver.servers["s1"].is_cold(NOW + 3089 * MS)


class _Server:
    """A server that may start again or become cold again at any moment."""

    def __init__(self, server_id, rng):
        self.server_id = server_id
        self.rng = rng
        self.born_ms = 1000
        self.sequence = 0
        self.cold_until = NOW + 3 * S
        self.next_at = NOW + rng.random() * HEARTBEAT

    def change(self, now):
        draw = self.rng.random()
        if draw < 0.004:
            self.cold_until = now + self.rng.uniform(0.2, 3.0) * S
        elif draw < 0.005:
            self.born_ms += 1000
            self.sequence = 0
            self.cold_until = now + 3 * S
            self.next_at = now + self.rng.random() * HEARTBEAT

    def announce(self, now):
        self.next_at = now + HEARTBEAT
        self.sequence += 1
        cold_left = max(datetime.timedelta(), self.cold_until - now)
        return _records.server(
            self.server_id,
            born_ms=self.born_ms,
            sequence=self.sequence,
            cold_left_ms=cold_left // MS,
        )


class _Node:
    """A registry that follows others, as control VMs and entry VMs do."""

    def __init__(self, number, followed=()):
        self.node_id = f"10.1.0.{number}:80"
        self.registry = make_registry(number)
        self.followers = discovery.Followers(self.registry, TIMING)
        self.followed = followed
        self.merged = {}
        self.heard = set()
        #: Stamp after each merge, and the announcement that was known then.
        self.history = []

    def report_to(self, other):
        epoch, stamp = self.merged.get(other.node_id, (0, 0))
        return _records.report(_records.node(self.node_id), epoch, stamp)

    def receive(self, sender, changes, now, adopts):
        epoch, stamp = self.merged.get(sender, (0, 0))
        last_stamp = stamp if changes.registry_epoch == epoch else 0
        if changes.since_stamp > last_stamp:
            return
        merge = self.registry.merge_changes
        if adopts:
            merge = self.registry.adopt_changes
        merge(changes, now)
        self.merged[sender] = (
            changes.registry_epoch,
            max(last_stamp, changes.stamp),
        )
        self.note()

    def note(self):
        for view in self.registry.servers.values():
            self.history.append((self.registry.stamp, _version(view.record)))


def _version(record):
    return (record.server_id, record.born_ms, record.sequence)


class _World:
    """Control VMs that follow each other, and entry VMs."""

    def __init__(self, seed, heartbeat_delay, message_delay, loss):
        self.rng = random.Random(seed)
        self.heartbeat_delay = heartbeat_delay
        self.message_delay = message_delay
        self.loss = loss
        self.controls = [_Node(number) for number in (1, 2, 3)]
        for node in self.controls:
            node.followed = [n for n in self.controls if n is not node]
        self.entries = [
            _Node(number, [self.controls[number % 3]])
            for number in (4, 5, 6, 7)
        ]
        self.servers = [_Server(f"s{n}", self.rng) for n in range(3)]
        self.now = NOW
        #: Earliest end of its warm-up that each announcement allows.
        self.ends = {}
        self._queue = []

    def run(self, duration, check):
        end = self.now + duration
        while self.now < end:
            self.now += STEP
            for server in self.servers:
                server.change(self.now)
                if self.now >= server.next_at:
                    record = server.announce(self.now)
                    node = self.rng.choice(self.controls)
                    self._post(
                        self.heartbeat_delay(self.rng),
                        self._on_announcement,
                        (node, record),
                    )
            self._report_and_flush()
            due = [item for item in self._queue if item[0] <= self.now]
            self._queue = [item for item in self._queue if item not in due]
            for _, function, arguments in due:
                function(*arguments)
            check(self)

    def _post(self, delay, function, arguments):
        self._queue.append((self.now + delay, function, arguments))

    def _send(self, function, *arguments):
        if self.rng.random() >= self.loss:
            self._post(self.message_delay(self.rng), function, arguments)

    def _on_announcement(self, node, record):
        left = record.cold_left_ms * MS
        self.ends[_version(record)] = self.now + left if left else NOW
        node.registry.merge_server(record, self.now)
        node.heard.add(record.server_id)
        node.note()

    def _report_and_flush(self):
        elapsed = self.now - NOW
        if elapsed % REPORT_INTERVAL < STEP:
            for node in [*self.controls, *self.entries]:
                for other in node.followed:
                    self._send(self._on_report, node, other, node.heard)
                node.heard = set()
        if elapsed % FLUSH_PERIOD < STEP:
            names = {n.node_id: n for n in [*self.controls, *self.entries]}
            for node in self.controls:
                node.registry.mark_silent(self.now)
                for name, changes in node.followers.take_due_changes(self.now):
                    to = names[name]
                    self._send(self._on_changes, node, to, changes)

    def _on_report(self, node, other, heard):
        other.registry.refresh_last_heard(heard, [], self.now)
        other.followers.on_report(node.report_to(other), self.now)

    def _on_changes(self, node, to, changes):
        adopts = to in self.entries
        to.receive(node.node_id, changes, self.now, adopts)

    def assert_cold(self, node, server_id, version):
        end = self.ends[server_id, *version]
        view = node.registry.servers[server_id]
        if self.now < end:
            assert view.is_cold(self.now), (node.node_id, end - self.now)

    def check_what_is_known(self):
        """Nodes follow the newest announcement that they have."""
        for node in [*self.controls, *self.entries]:
            for view in node.registry.servers.values():
                server_id, *version = _version(view.record)
                self.assert_cold(node, server_id, version)

    def check_followers(self):
        """And the newest of their control VM that they were told up to."""
        for node in self.entries:
            [followed] = node.followed
            _, told = node.merged.get(followed.node_id, (0, 0))
            newest = {}
            for stamp, (server_id, *version) in followed.history:
                if stamp <= told:
                    known = newest.get(server_id, version)
                    newest[server_id] = max(known, version)
            for server_id, version in newest.items():
                view = node.registry.servers[server_id]
                if version >= list(_version(view.record)[1:]):
                    self.assert_cold(node, server_id, version)

    def check(self):
        self.check_what_is_known()
        self.check_followers()


def _calm_delay(rng):
    return rng.uniform(1, 60) * MS


def _late_delay(rng):
    return rng.uniform(1, 60 if rng.random() < 0.8 else 3000) * MS


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_nobody_takes_a_server_as_warm_that_said_last_that_it_is_cold(
    seed, loss
):
    world = _World(seed, _late_delay, _late_delay, loss)
    world.run(30 * S, _World.check)
    assert sum(end > NOW for end in world.ends.values()) > 10


def test_followers_are_not_sent_each_announcement():
    world = _World(1, _calm_delay, _calm_delay, 0.0)
    for server in world.servers:
        server.change = lambda now: None
    for warmups in (1, 2, 3):
        world.run(10 * S, _World.check)
        for node in [*world.controls, *world.entries]:
            assert node.registry.stamp == warmups * len(world.servers)
        for server in world.servers:
            server.cold_until = world.now + 3 * S
