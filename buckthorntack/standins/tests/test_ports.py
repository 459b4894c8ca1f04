from buckthorntack.standins import _deployment


def test_a_port_is_given_out_once_though_it_is_free_again(monkeypatch):
    offered = iter([4000, 4000, 4001])
    monkeypatch.setattr(_deployment, "_probe_port", lambda: next(offered))
    ports = _deployment.FreePorts()
    assert [ports.take(), ports.take()] == [4000, 4001]
