import socket

import pytest

from buckthorntack import transport
from buckthorntack.standins import _ports


def test_a_port_is_given_out_once():
    with _ports.FreePorts() as ports:
        taken = [ports.take() for _ in range(200)]
    assert len(set(taken)) == 200


def test_a_held_port_is_free_for_a_listener_and_for_nobody_else():
    with _ports.FreePorts() as ports:
        port = ports.take()
        with socket.socket() as stranger, pytest.raises(OSError):
            stranger.bind((_ports.HOST, port))
        with transport.bind_listener(f"{_ports.HOST}:{port}") as listener:
            listener.listen()
            assert listener.getsockname()[1] == port
