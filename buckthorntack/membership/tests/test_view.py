"""Gossip of backend servers within a failure domain."""

from buckthorntack.membership.tests import fakes


def test_members_beyond_the_seeds_are_learned():
    network = fakes.domain(6)
    for node_id, view in network.views.items():
        known = {record.node_id for record in view.members()}
        assert known == set(network.views) - {node_id}


def test_announced_server_is_known_everywhere():
    network = fakes.domain(6)
    network.announce("e3", fakes.announcement())
    network.run(400)
    assert network.states() == dict.fromkeys(network.views, "ready")


def test_renewed_server_stays():
    network = fakes.domain(6)
    server = fakes.Server(network)
    network.run(1000, server.step)

    def check():
        server.step()
        assert len(network.states()) == len(network.views)

    network.run(20_000, check)
