"""Smoke test of the built binary, as a new operator would use it."""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

BINARY = pathlib.Path("dist/buckthorntack").resolve()
EXAMPLES = pathlib.Path("examples/hoardline").resolve()
PATIENCE_SECONDS = 60
#: Sockets that hold ports; they do not listen.
RESERVED = []
CONTROL_OPTIONS = ("--patience-s", "20")


class SmokeFailure(Exception):
    """The binary did not do what its pages say."""


def reserve_port():
    """A port that nobody else is given before this program ends."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    RESERVED.append(holder)
    return holder.getsockname()[1]


class Workplace:
    """A folder with settings and keys of one node.

    :param folder: the folder.
    """

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.environment = {
            **os.environ,
            "PEX_ROOT": str(self.folder / "unpacked"),
        }
        self.admin = f"http://127.0.0.1:{reserve_port()}"

    def run(self, *arguments, expect=0):
        """Run the binary to its end.

        :param arguments: its arguments.
        :param expect: the exit code that it must have.
        :returns: what it printed.
        """
        done = subprocess.run(
            [BINARY, *arguments],
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=PATIENCE_SECONDS,
        )
        if done.returncode != expect:
            raise SmokeFailure(
                f"{arguments}: exit {done.returncode}\n"
                f"{done.stdout}\n{done.stderr}"
            )
        return done.stdout

    def operate(self, *arguments):
        """Run a command that talks to the control VM.

        :param arguments: its arguments.
        """
        where = ("--server", self.admin, "--token-file", "ana.token")
        return self.run(*arguments, *where, *CONTROL_OPTIONS)

    def make_keys(self):
        """Make the key files."""
        self.run("keys", "link", "links.json")
        self.run("keys", "signing", "signing.json")
        operator = ("--name", "ana", "--role", "admin")
        target = ("--token-file", "ana.token")
        self.run("keys", "operator", "operators.json", *operator, *target)

    def write_settings(self):
        """Write the settings of the node."""
        link = f"127.0.0.1:{reserve_port()}"
        node = {
            "node_id": "fukuoka-a-1",
            "link_address": link,
            "region": "fukuoka",
            "failure_domain": "fukuoka-a",
            "roles": ["entry", "control"],
        }
        home = {"home_id": "fukuoka-a", "region": "fukuoka"}
        document = {
            "node_id": "fukuoka-a-1",
            "roles": ["entry", "control"],
            "region": "fukuoka",
            "failure_domain": "fukuoka-a",
            "data_folder": "data",
            "links": {"listen_address": link},
            "callers": {"listen_address": f"127.0.0.1:{reserve_port()}"},
            "backends": {"listen_address": f"127.0.0.1:{reserve_port()}"},
            "metrics": {"listen_address": f"127.0.0.1:{reserve_port()}"},
            "admin": {"listen_address": self.admin.removeprefix("http://")},
            "nodes": [node],
            "control": ["fukuoka-a-1"],
            "ledger_homes": [{**home, "replicas": ["fukuoka-a-1"]}],
            "keys": {
                "link_keys_file": "links.json",
                "token_key_file": "signing.json",
                "operator_tokens_file": "operators.json",
            },
        }
        text = "// Settings of the smoke test.\n" + json.dumps(document)
        (self.folder / "node.json").write_text(text)

    def start_node(self):
        """Start the node.

        :returns: its process.
        """
        return subprocess.Popen(
            [BINARY, "entry", "--settings", "node.json"],
            cwd=self.folder,
            env=self.environment,
        )


def children(process_id):
    """Processes that a process has started.

    :param process_id: its id.
    """
    found = []
    for status in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = status.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == process_id:
            found.append(int(status.parent.name))
    return found


def check_single_process(process):
    """Fail if the node has started another process.

    :param process: the node's process.
    """
    started = children(process.pid)
    if started:
        raise SmokeFailure(f"the binary started processes: {started}")


def exercise(place, process):
    """Publish the example through the running node.

    :param place: the :class:`Workplace`.
    :param process: the node's process.
    """
    objects = str(place.folder / "objects")
    shutil.copytree(EXAMPLES, objects)
    place.operate("apply", objects, "--output", "json")
    check_single_process(process)
    status = json.loads(place.operate("status", "--output", "json"))
    if status["revision"] != 1 or not status["has_quorum"]:
        raise SmokeFailure(f"unexpected status: {status}")
    if len(children(os.getpid())) < 1:
        raise SmokeFailure("the process tree cannot be read")


def stop(process):
    """Stop the node as an operator does.

    :param process: its process.
    """
    process.send_signal(signal.SIGTERM)
    code = process.wait(PATIENCE_SECONDS)
    if code != 0:
        raise SmokeFailure(f"the node ended with {code}")


def main():
    """Run the smoke test."""
    begun = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        place = Workplace(folder)
        place.run("version")
        place.run("check", str(EXAMPLES))
        place.make_keys()
        place.write_settings()
        place.run("entry", "--settings", "node.json", "--check-only")
        process = place.start_node()
        try:
            exercise(place, process)
            stop(process)
        finally:
            if process.poll() is None:
                process.kill()
    print(f"smoke test passed in {time.monotonic() - begun:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
