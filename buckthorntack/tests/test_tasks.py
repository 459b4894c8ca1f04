"""Work that lasts as long as the process."""

import signal
import subprocess
import sys

import pytest

#: Sends itself a signal that the event loop handled until it was closed.
_SIGNAL_AT_EXIT = """
import asyncio, atexit, os, sys
from buckthorntack import tasks
number = int(sys.argv[1])
atexit.register(os.kill, os.getpid(), number)
async def work():
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(number, print)
    await asyncio.to_thread(print)
    return 7
sys.exit(tasks.run(work()))
"""


# Guards against an exit code of a signal that arrives once the work has ended.
@pytest.mark.parametrize(
    "number", [signal.SIGHUP, signal.SIGINT, signal.SIGTERM]
)
def test_signal_after_the_work_keeps_the_exit_code(number):
    command = [sys.executable, "-c", _SIGNAL_AT_EXIT, str(int(number))]
    assert subprocess.run(command, timeout=30).returncode == 7
