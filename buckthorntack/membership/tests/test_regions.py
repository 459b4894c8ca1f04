"""Gossip between failure domains and regions."""

import pytest

from buckthorntack import membership
from buckthorntack.membership.tests import fakes
from buckthorntack.schema import messages

DOMAINS = ("fukuoka-a", "fukuoka-b", "kumamoto-a", "kagoshima-a")


def world(seed=0, size=3, seeded=DOMAINS[:1]):
    network = fakes.Network(seed)
    network.delay_ms = (1, 60)
    first = [fakes.entry(f"{domain}-0", domain) for domain in seeded]
    for domain in DOMAINS:
        near = fakes.entry(f"{domain}-0", domain)
        for number in range(size):
            record = fakes.entry(f"{domain}-{number}", domain)
            seeds = [fakes.seed_of(r) for r in [*first, near]]
            network.add(record, seeds)
    network.run(12_000)
    return network


def nodes(network, domain):
    return [n for n in network.views if n.startswith(domain)]


def summarised(network, node_id):
    found = network.views[node_id].summaries(network.local(node_id))
    return {summary.failure_domain: summary for summary in found}


def test_domains_learn_of_each_other_through_one_seed():
    network = world()
    for node_id, view in network.views.items():
        own = view.own.failure_domain
        assert set(summarised(network, node_id)) == set(DOMAINS) - {own}
    listed = network.views["fukuoka-a-0"].entries_of(
        "kagoshima", network.local("fukuoka-a-0")
    )
    assert {r.failure_domain for r in listed} == {"kagoshima-a"}


def test_servers_are_known_within_the_region_only():
    network = world()
    document = fakes.announcement(failure_domain="fukuoka-b")
    network.announce("fukuoka-b-1", document)
    network.run(800)
    inside = nodes(network, "fukuoka-a") + nodes(network, "fukuoka-b")
    assert sorted(network.states()) == sorted(inside)


def test_summary_counts_what_servers_can_do():
    network = world()

    def renew():
        for number in range(4):
            document = fakes.announcement(
                f"s{number}",
                sequence=network.now_ms,
                failure_domain="kumamoto-a",
                state="ready" if number else "draining",
                load={
                    "running": 2,
                    "waiting": number,
                    "cache_used_fraction": 0.5,
                },
            )
            network.announce("kumamoto-a-1", document)

    for _ in range(10):
        renew()
        network.run(500)
    summary = summarised(network, "kagoshima-a-2")["kumamoto-a"]
    assert summary.services == [
        messages.ServiceSummary("pitchwriter", "pitch-1", 3, 12, 6, 6)
    ]


def test_region_loss_and_heal():
    network = world()
    network.isolate(*nodes(network, "kagoshima"))
    network.run(8000)
    assert "kagoshima-a" not in summarised(network, "fukuoka-a-1")
    assert summarised(network, "kagoshima-a-1") == {}
    network.heal()
    network.run(8000)
    for node_id, view in network.views.items():
        own = view.own.failure_domain
        assert set(summarised(network, node_id)) == set(DOMAINS) - {own}


def test_stopping_entry_vm_is_told_to_other_regions():
    network = world()
    view = network.views["kagoshima-a-1"]
    commands = view.set_state("stopping", network.local("kagoshima-a-1"))
    network.execute("kagoshima-a-1", commands)
    network.run(700)
    for node_id in nodes(network, "fukuoka"):
        records = network.views[node_id].entries_of(
            "kagoshima", network.local(node_id)
        )
        assert sorted(r.node_id for r in records) == [
            "kagoshima-a-0",
            "kagoshima-a-2",
        ]


def publish(network, node_id, version=1, ttl_ms=60_000, key="k"):
    item = messages.Item("quarantine", key, b"value", version, ttl_ms)
    result, commands = network.views[node_id].publish(
        item, network.local(node_id)
    )
    network.execute(node_id, commands)
    return result


def versions(network, key="k"):
    return {
        node_id: item.version
        for node_id, view in network.views.items()
        for item in view.items("quarantine", network.local(node_id))
        if item.key == key
    }


def test_item_reaches_all_regions():
    network = world()
    assert publish(network, "kumamoto-a-2").is_ok()
    network.run(1000)
    assert versions(network) == dict.fromkeys(network.views, 1)


@pytest.mark.parametrize("seed", range(3))
def test_items_converge_after_a_partition(seed):
    network = world(seed)
    network.isolate(*nodes(network, "kagoshima"))
    network.run(500)
    publish(network, "fukuoka-b-1", version=1)
    publish(network, "kagoshima-a-1", version=2)
    network.run(8000)
    network.heal()
    network.run(15_000)
    assert versions(network) == dict.fromkeys(network.views, 2)


def test_old_version_of_item_is_refused_and_items_end():
    network = world()
    publish(network, "fukuoka-a-0", version=3, ttl_ms=4000)
    network.run(1000)
    assert publish(network, "kumamoto-a-0", version=2).is_error()
    network.run(3100)
    assert versions(network) == {}
    network.run(5000)
    assert versions(network) == {}


def test_items_are_bounded():
    network = world(size=1)
    view = network.views["fukuoka-a-0"]
    for number in range(5000):
        publish(network, "fukuoka-a-0", key=f"k{number}")
    held = view.items("quarantine", network.local("fukuoka-a-0"))
    assert len(held) == 4096
    large = messages.Item("quarantine", "large", bytes(2000), 1, 1000)
    result, _ = view.publish(large, network.local("fukuoka-a-0"))
    assert result.is_error()


def test_fanout_to_other_domains_is_bounded_and_steady():
    timing = membership.MembershipTiming(region_fanout=2)
    network = fakes.Network(1, timing)
    names = [f"fukuoka-{letter}" for letter in "abcde"]
    for name in names:
        for number in range(3):
            record = fakes.entry(f"{name}-{number}", name)
            seeds = [
                fakes.seed_of(fakes.entry("fukuoka-a-0", "fukuoka-a")),
                fakes.seed_of(fakes.entry(f"{name}-0", name)),
            ]
            network.add(record, seeds)
    network.run(15_000)
    servers = [
        fakes.Server(network, f"{name}-s", f"{name}-1") for name in names
    ]
    for server, name in zip(servers, names, strict=True):
        server.domain = name

    def renew():
        for server in servers:
            server.step()

    network.run(3000, renew)
    before = {name: set(network.states(f"{name}-s")) for name in names}

    def check():
        renew()
        for name in names:
            now = set(network.states(f"{name}-s"))
            assert now >= set(nodes(network, name))
            assert len(now) <= 3 + 2

    network.run(10_000, check)
    assert all(
        before[name] == set(network.states(f"{name}-s")) for name in names
    )
