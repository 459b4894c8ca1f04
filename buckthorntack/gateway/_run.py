"""Execution of a node until it gets a signal to stop."""

import asyncio
import contextlib
import os
import signal

from buckthorntack import events
from buckthorntack import signals
from buckthorntack import tasks
from buckthorntack.gateway import _errors
from buckthorntack.gateway import _events

#: Period of the check for changes of the settings file.
SETTINGS_POLL_S = 1.0


async def run(node, load_settings, settings_path):
    """Run a node until SIGTERM or SIGINT, then stop gracefully.

    :param node: ``EntryNode`` or ``ControlNode``, not yet entered.
    :param load_settings: function that reads the settings file at a path.
    :param settings_path: path of the settings file.
    :returns: exit code of the process.
    """
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    signals.release({signal.SIGHUP})
    async with node:
        reloading = _reload_settings(
            node, load_settings, settings_path, reload_requested
        )
        async with tasks.running(reloading):
            await _wait_for_stop(node, stop_requested)
        await node.stop()
    return 0


async def _wait_for_stop(node, stop_requested):
    """Wait for a stop signal; raise the error if the node fails first."""
    waiters = [asyncio.create_task(stop_requested.wait())]
    if hasattr(node, "failed"):
        waiters.append(asyncio.create_task(node.failed()))
    try:
        done, _ = await asyncio.wait(
            waiters, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        for task in waiters:
            task.cancel()
    for task in done:
        failure = task.result()
        if isinstance(failure, BaseException):
            raise failure


async def _reload_settings(node, load_settings, path, reload_requested):
    """Reload the settings after SIGHUP and when the file changes."""
    log = events.EventLog("gateway")
    loaded_signature = _file_signature(path)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload_requested.wait()
        signature = _file_signature(path)
        if not reload_requested.is_set() and signature == loaded_signature:
            continue
        reload_requested.clear()
        loaded_signature = signature
        try:
            node.apply_settings(load_settings(path))
        except _errors.SettingsError as error:
            log.write(_events.SETTINGS_REFUSED, error=str(error))
        except Exception as error:
            # An error of this task would keep the node from its stop.
            log.write(_events.SETTINGS_REFUSED, error=repr(error))
        else:
            log.write(_events.SETTINGS_RELOADED, path=path)


def _file_signature(path):
    """Return a value that changes with the file; None if it is missing."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)
