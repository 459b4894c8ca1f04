"""Settings files that no operator would write."""

import asyncio
import contextlib
import json

import pytest

from buckthorntack import gateway
from buckthorntack.gateway import _run
from buckthorntack.platform import _settings

SOUND = {
    "role": "entry",
    "node_name": "e0",
    "region": "north",
    "failure_domain": "a1",
    "regions": {"a1": "north"},
    "ip_address": "127.0.0.1",
    "service_address": "127.0.0.1:8301",
    "readiness_address": "127.0.0.1:8303",
    "directory_address": "127.0.0.1:8302",
    "internal_ports": [7300, 7301],
    "metrics_port": 7302,
    "seeds": ["127.0.0.1:8300"],
    "first_start": True,
    "data_folder": "",
    "announcement_ms": 1200,
    "tolerated_losses": 1,
    "repeat_ratio": 0.2,
    "repeat_slack": 56,
    "directory_ttl_s": 5,
    "grace_s": 8,
}
ODD_TEXTS = [
    "",
    "[]",
    json.dumps(SOUND)[:-1],
    json.dumps(SOUND)[:-1] + ', "unknown": ' + "[" * 5000 + "]" * 5000 + "}",
    *(
        json.dumps({**SOUND, name: value})
        for name, value in (
            ("internal_ports", []),
            ("announcement_ms", 1e300),
            ("announcement_ms", float("nan")),
            ("directory_ttl_s", 1e300),
            ("directory_ttl_s", float("inf")),
            ("grace_s", 1e300),
            ("grace_s", float("nan")),
            ("role", 7),
        )
    ),
]


class Node:
    """Stands in for a node that is told of settings."""

    def __init__(self):
        self.settings = []

    def apply_settings(self, settings):
        self.settings.append(settings)


def test_sound_settings_are_read(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SOUND))
    assert _settings.load_settings(path).node_name == "e0"


# Guards against an error that nothing names as one of the settings file.
@pytest.mark.parametrize("number", range(len(ODD_TEXTS)))
def test_odd_settings_are_refused(number, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(ODD_TEXTS[number])
    with pytest.raises(gateway.SettingsError):
        _settings.load_settings(path)


# Guards against a node that reads no settings any more, or ends, once they
# were odd.
@pytest.mark.parametrize("number", range(len(ODD_TEXTS)))
def test_settings_are_reloaded_after_odd_ones(number, tmp_path):
    path = tmp_path / "settings.json"
    node = Node()

    async def reload(text):
        path.write_text(text)
        requested.set()
        while requested.is_set() and not task.done():  # noqa: ASYNC110
            await asyncio.sleep(0.001)

    async def scenario():
        nonlocal requested, task
        requested = asyncio.Event()
        path.write_text(json.dumps(SOUND))
        task = asyncio.ensure_future(
            _run._reload_settings(
                node, _settings.load_settings, path, requested
            )
        )
        await reload(ODD_TEXTS[number])
        await reload(json.dumps(SOUND))
        assert [one.node_name for one in node.settings] == ["e0"]
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    requested = task = None
    asyncio.run(scenario())
