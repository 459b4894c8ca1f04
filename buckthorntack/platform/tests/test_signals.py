"""Signals that reach a process before it handles them, or after."""

import json
import os
import signal
import subprocess
import sys
import threading

import pytest

from buckthorntack.platform.tests import test_odd_settings

TEST_TIMEOUT_S = 30
#: Runs the program of a node; a signal follows the look for a module.
_HANG_UP_AT_IMPORT = """
import os, runpy, signal, sys
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == sys.argv[1]:
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Finder())
runpy.run_module("buckthorntack.platform", run_name="__main__")
"""
#: Runs the program of a node; a second stop signal follows its end.
_STOP_AT_EXIT = """
import atexit, os, runpy, signal
atexit.register(os.kill, os.getpid(), signal.SIGTERM)
runpy.run_module("buckthorntack.platform", run_name="__main__")
"""


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a program with an entry VM's settings."""
    processes = []
    timers = []
    pid = os.getpid()
    ip_address = f"127.{200 + pid % 50}.{pid // 50 % 250}.1"
    addresses = {
        "ip_address": ip_address,
        "service_address": f"{ip_address}:8301",
        "readiness_address": f"{ip_address}:8303",
        "directory_address": f"{ip_address}:8302",
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**test_odd_settings.SOUND, **addresses}))

    def start_program(code, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-c", code, *arguments],
            stdout=subprocess.PIPE,
            env={**os.environ, "BUCKTHORNTACK_NODE_FILE": str(path)},
        )
        processes.append(process)
        timers.append(threading.Timer(TEST_TIMEOUT_S, process.kill))
        timers[-1].start()
        return process

    yield start_program
    for timer in timers:
        timer.cancel()
    for process in processes:
        process.kill()
        process.wait()
        process.stdout.close()


def wait_for(process, event):
    """Read the log of a process up to an event; False if it ends first."""
    return any(json.loads(line)["name"] == event for line in process.stdout)


# Guards against an end of the process by a hang-up that arrives while it still
# loads its modules.
@pytest.mark.parametrize(
    "module", ["buckthorntack.gateway", "buckthorntack.gateway._entry"]
)
def test_hang_up_during_imports_is_a_reload(module, start):
    process = start(_HANG_UP_AT_IMPORT, module)
    assert wait_for(process, "settings_reloaded")
    process.send_signal(signal.SIGTERM)
    assert process.wait() == 0


# Guards against an exit code of a signal for a node that has stopped as asked,
# as a second stop signal arrives before its process is gone.
def test_stop_signal_after_the_stop_changes_nothing(start):
    process = start(_STOP_AT_EXIT)
    assert wait_for(process, "node_started")
    process.send_signal(signal.SIGTERM)
    assert process.wait() == 0
