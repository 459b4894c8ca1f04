"""Real processes of a small deployment, and what they use."""

import contextlib
import json
import os
import pathlib
import resource
import socket
import subprocess
import sys
import time

import httpx

from benchmarks import configuration as sizes
from buckthorntack import security
from buckthorntack import settings as settings_files

TOKEN = "capacity-operator"
PATIENCE_SECONDS = 60
MEBIBYTE = 1 << 20
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
REGION = sizes.REGIONS[0]
DOMAIN = f"{REGION}-a"


def resident_mb(process_id):
    """Resident memory of a process in MiB.

    :param process_id: its id.
    """
    pages = pathlib.Path(f"/proc/{process_id}/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize() / MEBIBYTE


def cpu_seconds(process_id):
    """Processor time of a process so far.

    :param process_id: its id.
    """
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


class Processes(contextlib.ExitStack):
    """Nodes of one failure domain, one process each.

    :param folder: an empty folder.
    :param roles: roles of each node by its id.
    """

    def __init__(self, folder, roles):
        super().__init__()
        self.folder = pathlib.Path(folder)
        self.roles = roles
        self.started = {}
        self.admin = f"127.0.0.1:{self._port()}"

    def __enter__(self):
        super().__enter__()
        self._write_keys()
        nodes = [self._node(node_id) for node_id in self.roles]
        for node in nodes:
            self._start(node, nodes)
        return self

    def _port(self):
        holder = self.enter_context(socket.socket())
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        return holder.getsockname()[1]

    def _listener(self):
        return {"listen_address": f"127.0.0.1:{self._port()}"}

    def _write_keys(self):
        operator = {
            "name": "capacity",
            "role": "admin",
            "token_sha256": security.hash_token(TOKEN),
        }
        contents = {
            "links.json": security.generate_link_keys(),
            "tokens.json": security.generate_signing_keys(),
            "operators.json": {"operators": [operator]},
        }
        for name, content in contents.items():
            text = security.format_key_file(content)
            settings_files.write_secret(self.folder / name, text)

    def _node(self, node_id):
        return {
            "node_id": node_id,
            "link_address": f"127.0.0.1:{self._port()}",
            "region": REGION,
            "failure_domain": DOMAIN,
            "roles": list(self.roles[node_id]),
        }

    def _settings(self, node, nodes):
        control = [n["node_id"] for n in nodes if "control" in n["roles"]]
        document = {
            "node_id": node["node_id"],
            "roles": node["roles"],
            "region": REGION,
            "failure_domain": DOMAIN,
            "data_folder": str(self.folder / node["node_id"]),
            "links": {"listen_address": node["link_address"]},
            "nodes": nodes,
            "control": control,
            "ledger_homes": [
                {"home_id": "h", "region": REGION, "replicas": control}
            ],
            "keys": {
                "link_keys_file": str(self.folder / "links.json"),
                "token_key_file": str(self.folder / "tokens.json"),
                "operator_tokens_file": str(self.folder / "operators.json"),
            },
        }
        if "entry" in node["roles"]:
            document["callers"] = self._listener()
            document["backends"] = self._listener()
        if "control" in node["roles"]:
            document["admin"] = {"listen_address": self.admin}
        return document

    def _start(self, node, nodes):
        node_id = node["node_id"]
        path = self.folder / f"{node_id}.json"
        path.write_text(json.dumps(self._settings(node, nodes)))
        path_of_log = self.folder / f"{node_id}.log"
        log = self.enter_context(path_of_log.open("wb"))
        command = [sys.executable, "-m", "buckthorntack"]
        process = subprocess.Popen(
            [*command, node["roles"][0], "--settings", str(path)],
            stdout=log,
            stderr=log,
        )
        self.callback(process.wait)
        self.callback(process.terminate)
        self.started[node_id] = process

    def publish(self, number, put):
        """Publish objects as the change of a number, and wait.

        :param number: number of the change, from 0.
        :param put: the objects.
        """
        change = {
            "change_id": f"change-{number}",
            "base_revision": number,
            "put": put,
            "replace_all": False,
        }
        end = time.monotonic() + PATIENCE_SECONDS
        while time.monotonic() < end:
            document = self._post(change)
            if document.get("accepted"):
                return
            time.sleep(0.2)
        raise RuntimeError(f"not accepted: {document}")

    def wait_in_force(self):
        """Wait until all entry VMs have what was published.

        :returns: whether they had it within a minute.
        """
        end = time.monotonic() + PATIENCE_SECONDS
        while time.monotonic() < end:
            status = httpx.get(
                f"http://{self.admin}/admin/v1/status",
                headers={"authorization": f"Bearer {TOKEN}"},
                timeout=30,
                trust_env=False,
            ).json()
            if _followed(status["regions"]):
                return True
            time.sleep(0.5)
        return False

    def _post(self, change):
        try:
            answer = httpx.post(
                f"http://{self.admin}/admin/v1/changes",
                json=change,
                headers={"authorization": f"Bearer {TOKEN}"},
                timeout=30,
                trust_env=False,
            )
        except httpx.TransportError as error:
            return {"error": str(error)}
        return answer.json()

    def resident_mb(self):
        """Resident memory of each node in MiB."""
        return {n: resident_mb(p.pid) for n, p in self.started.items()}

    def cpu_ms_per_s(self, seconds):
        """Processor time of each node, in milliseconds a second.

        :param seconds: for how long to measure.
        """
        pids = {name: p.pid for name, p in self.started.items()}
        before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        time.sleep(seconds)
        return {
            name: 1000 * (cpu_seconds(pid) - before[name]) / seconds
            for name, pid in pids.items()
        }


def _followed(regions):
    """Whether entry VMs report, and none lacks anything."""
    reporting = any(region["in_force"] for region in regions)
    lacking = any(
        region["behind"] or region["out_of_contact"] for region in regions
    )
    return reporting and not lacking
