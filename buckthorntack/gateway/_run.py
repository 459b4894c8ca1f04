"""Runs a node until it is told to stop."""

import asyncio
import contextlib
import os
import signal

from buckthorntack import events
from buckthorntack import tasks
from buckthorntack.gateway import _errors
from buckthorntack.gateway import _events

#: Pause between two looks at the settings file.
SETTINGS_POLL_S = 1.0


async def run(node, load_settings, settings_path):
    """Run a node until SIGTERM or SIGINT, then stop gracefully.

    :param node: ``EntryNode`` or ``ControlNode``, not yet entered.
    :param load_settings: reads the settings file.
    :param settings_path: its path.
    :returns: exit code.
    """
    stopping = asyncio.Event()
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    async with node:
        reloading = _reload(node, load_settings, settings_path, changed)
        async with tasks.running(reloading):
            await _stopped(node, stopping)
        await node.stop()
    return 0


async def _stopped(node, stopping):
    """Wait for a signal, or for a failure that ends the node."""
    waits = [asyncio.create_task(stopping.wait())]
    if hasattr(node, "failed"):
        waits.append(asyncio.create_task(node.failed()))
    try:
        done, _ = await asyncio.wait(
            waits, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        for task in waits:
            task.cancel()
    for task in done:
        failure = task.result()
        if isinstance(failure, BaseException):
            raise failure


async def _reload(node, load_settings, path, changed):
    """Read the settings again after a signal and when the file changes."""
    log = events.EventLog("gateway")
    known = _mark(path)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_S):
                await changed.wait()
        mark = _mark(path)
        if not changed.is_set() and mark == known:
            continue
        changed.clear()
        known = mark
        try:
            node.take_settings(load_settings(path))
        except _errors.SettingsError as error:
            log.write(_events.SETTINGS_REFUSED, error=str(error))
        else:
            log.write(_events.SETTINGS_RELOADED, path=path)


def _mark(path):
    """What tells whether a file has changed; None if it is not there."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return (found.st_mtime_ns, found.st_size, found.st_ino)
