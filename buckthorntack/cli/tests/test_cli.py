import hashlib
import io
import json
import pathlib
import subprocess
import sys

import httpx
import pytest

from buckthorntack import cli
from buckthorntack import clock
from buckthorntack import control
from buckthorntack import errors
from buckthorntack import objects
from buckthorntack import security
from buckthorntack import settings
from buckthorntack.control.tests import fakes
from buckthorntack.objects.tests import sets

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "hoardline"


class ImpatientClock(clock.ManualClock):
    """Moves on by itself when asked to wait."""

    async def sleep(self, duration):
        self.advance(duration)


class FaultyTransport(httpx.ASGITransport):
    """Loses requests and answers as told."""

    def __init__(self, app):
        super().__init__(app, raise_app_exceptions=False)
        #: For each request to come: ``lost``, ``unanswered`` or ``""``.
        self.faults = []
        self.hosts = []

    async def handle_async_request(self, request):
        self.hosts.append(request.url.host)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "lost":
            raise httpx.ConnectError("no route")
        answer = await super().handle_async_request(request)
        if fault == "unanswered":
            raise httpx.ReadTimeout("silence")
        return answer


class Operator:
    """Runs commands against a fake administration."""

    def __init__(self, folder, role="operator"):
        self.administration = fakes.FakeAdministration()
        digest = hashlib.sha256(b"secret").digest()
        operator = security.Operator("ana", security.Role[role.upper()])
        tokens = security.OperatorTokens({digest: operator})
        app = control.create_admin_app(self.administration, tokens)
        self.transport = FaultyTransport(app)
        token_file = folder / "token"
        settings.write_secret(token_file, "secret\n")
        self.environment = {
            "BUCKTHORNTACK_SERVERS": "http://one, http://two",
            "BUCKTHORNTACK_TOKEN_FILE": str(token_file),
        }

    def run(self, *argv):
        out, err = io.StringIO(), io.StringIO()
        context = cli.Context(
            out, err, self.environment, ImpatientClock(), self.transport
        )
        code = cli.run([str(part) for part in argv], context)
        self.out, self.err = out.getvalue(), err.getvalue()
        return code


@pytest.fixture
def operator(tmp_path):
    return Operator(tmp_path)


@pytest.fixture
def folder(tmp_path):
    created = tmp_path / "objects"
    created.mkdir()
    write(created, sets.sound_set())
    return created


def write(folder, named_objects):
    (folder / "all.json").write_text(json.dumps(named_objects))


def test_check_names_file_object_field_and_remedy(operator, folder):
    assert operator.run("check", folder) == 0
    faulty = sets.with_fields("Organisation", "council", quota="x")
    write(folder, faulty)
    assert operator.run("check", folder) == 1
    assert operator.out.startswith("all.json: Organisation council: quota: ")
    assert operator.run("check", folder, "--output", "json") == 1
    (found,) = json.loads(operator.out)["findings"]
    assert (found["file"], found["path"]) == ("all.json", "quota")
    assert operator.transport.hosts == []


def test_apply_publishes_once(operator, folder):
    assert operator.run("apply", folder, "--output", "json") == 0
    assert json.loads(operator.out)["revision"] == 1
    assert operator.run("apply", folder) == 0
    assert operator.out == "nothing to change; revision 1\n"
    assert len(operator.administration.results_by_change_id) == 1
    assert operator.run("diff", folder) == 0


def test_apply_does_not_publish_findings(operator, folder):
    write(folder, sets.without("Quota", "small"))
    assert operator.run("apply", folder) == 1
    assert "nothing was published" in operator.out
    assert operator.administration.results_by_change_id == {}


def test_missing_objects_stay_unless_pruned(operator, folder):
    operator.run("apply", folder)
    write(folder, sets.without("Priority", "urgent"))
    assert operator.run("diff", folder) == 1
    assert operator.out.splitlines()[0] == "- Priority urgent"
    operator.run("apply", folder)
    assert operator.administration.published.get("Priority", "urgent")
    assert operator.run("apply", folder, "--prune") == 0
    assert not operator.administration.published.get("Priority", "urgent")


def test_operators_who_race_do_not_undo_each_other(operator, folder, tmp_path):
    operator.run("apply", folder)
    other = tmp_path / "other"
    assert operator.run("get", "--folder", other) == 0
    region = {"kind": "Region", "object": {"name": "kagoshima"}}
    domain = {"name": "kagoshima-a", "region": "kagoshima"}
    more = [region, {"kind": "FailureDomain", "object": domain}]
    (other / "more.json").write_text(json.dumps(more))
    assert operator.run("apply", other) == 0
    quota = {"burst_requests": 11}
    write(folder, sets.with_fields("Quota", "small", **quota))
    assert operator.run("apply", folder) == 4
    assert "prepared on revision 1, but revision 2" in operator.out
    assert "--base-revision 2" in operator.out
    assert operator.run("apply", folder, "--base-revision", 2) == 0
    assert "kagoshima" in operator.administration.published.regions()


def test_lost_answer_is_asked_for_under_the_same_id(operator, folder):
    operator.transport.faults = ["", "unanswered", "lost"]
    assert operator.run("apply", folder) == 0
    assert len(operator.administration.results_by_change_id) == 1
    assert operator.administration.published.revision == 1
    assert set(operator.transport.hosts) == {"one", "two"}


def test_change_stays_pending_until_its_answer_is_known(operator, folder):
    operator.transport.faults = ["", *["unanswered"] * 500]
    assert operator.run("apply", folder) == 3
    assert "[" not in operator.err and "remedy:" in operator.err
    assert operator.administration.published.revision == 1
    operator.transport.faults = []
    assert operator.run("apply", folder) == 0
    assert "sent before was accepted; revision 1" in operator.err
    assert operator.out == "nothing to change; revision 1\n"
    assert len(operator.administration.results_by_change_id) == 1


def test_change_that_was_never_sent_is_not_pending(operator, folder):
    operator.transport.faults = ["", *["lost"] * 500]
    assert operator.run("apply", folder) == 3
    assert sorted(file.name for file in folder.iterdir()) == ["all.json"]


def test_pending_change_can_be_discarded(operator, folder):
    operator.transport.faults = ["", *["unanswered"] * 500]
    operator.run("apply", folder)
    operator.transport.faults = []
    operator.administration.results_by_change_id.clear()
    assert operator.run("apply", folder, "--discard-pending") == 0
    assert operator.err == ""


class NoQuorumError(errors.GatewayError):
    status = 503


def test_temporary_refusals_are_tried_again(operator, folder):
    operator.administration.errors_before_call = [
        NoQuorumError("a"),
        NoQuorumError("b"),
    ]
    assert operator.run("apply", folder) == 0
    operator.administration.errors_before_call = [
        NoQuorumError("no quorum")
    ] * 500
    assert operator.run("get", "--patience-s", 3) == 5
    assert "no quorum" in operator.err and "remedy:" in operator.err


class PendingError(errors.GatewayError):
    status = 504
    run_state = errors.RunState.UNKNOWN


def test_change_that_stays_unsettled_is_pending(operator, folder):
    operator.administration.errors_after_change = [
        PendingError("pending")
    ] * 500
    stopped = ["--stopped-entry-vm", "entry-9"]
    assert operator.run("apply", folder, *stopped) == 3
    pending = json.loads((folder / ".pending-change").read_text())
    assert pending["stopped_entry_vms"] == ["entry-9"]
    assert list(operator.administration.results_by_change_id) == [
        pending["change_id"]
    ]


def test_refusal_for_lack_of_a_role(tmp_path, folder):
    reader = Operator(tmp_path, role="reader")
    assert reader.run("apply", folder) == 5
    assert "event 1802: operator ana has role reader" in reader.err
    assert sorted(file.name for file in folder.iterdir()) == ["all.json"]
    assert reader.run("apply", folder, "--output", "json") == 5
    assert json.loads(reader.out)["error"]["run_state"] == "not_run"


def test_get_history_status_and_replicas(tmp_path, folder):
    admin = Operator(tmp_path, role="admin")
    admin.run("apply", folder, "--note", "first")
    assert admin.run("get", "Region") == 0
    assert admin.out.splitlines()[1].split() == ["Region", "fukuoka"]
    assert admin.run("get", "Region", "fukuoka", "--stale") == 0
    assert json.loads(admin.out) == sets.sound_set()[0]
    assert admin.run("get", "Region", "absent") == 5
    assert admin.run("history") == 0
    assert admin.out.splitlines()[1].startswith("1 ")
    assert admin.run("status") == 0
    assert "revision 1 at node-0; leader node-0" in admin.out
    assert "change c9 is pending" in admin.out and "entry-2" in admin.out
    assert admin.run("replicas", "add", "node-1") == 0
    assert "node-1" in admin.out
    assert admin.run("replicas", "add") == 2


def test_what_others_wrote_is_escaped(operator, folder):
    entry = '{"kind": "\\u001b[31m\\ud800", "object": {}}'
    (folder / "other.json").write_text(entry)
    assert operator.run("check", folder) == 1
    operator.out.encode("ascii")
    assert "\x1b" not in operator.out
    assert operator.run("check", folder, "--output", "json") == 1
    operator.out.encode("ascii")


def test_answer_of_another_server_is_told(operator):
    async def app(scope, receive, send):
        await send({"type": "http.response.start", "status": 200})
        await send({"type": "http.response.body", "body": b"{}"})

    operator.transport = httpx.ASGITransport(app)
    assert operator.run("status") == 3
    assert "status 200 is no answer of a control VM" in operator.err


@pytest.mark.parametrize(
    "argv",
    [
        [],
        ["absent"],
        ["check"],
        ["get", "--folder", "x", "Region"],
        ["get", "--ca-file", "/absent"],
        ["get", "--server", "one:7443"],
        ["get", "--patience-s", "nan"],
        ["get", "--token-file", "/absent"],
        ["history", "--after", "x"],
        ["keys", "operator", "f", "--name", "ana", "--role", "king"],
    ],
)
def test_wrong_usage(operator, argv):
    assert operator.run(*argv) == 2
    assert "Traceback" not in operator.err and operator.err


def test_missing_options_are_named(operator):
    operator.environment = {}
    assert operator.run("status") == 2
    assert "--server" in operator.err
    assert operator.run("status", "--server", "http://x") == 2
    assert "--token-file" in operator.err


def test_help_and_version(operator):
    assert operator.run("--help") == 0
    assert "exit codes:" in operator.out
    assert operator.run("version", "--output", "json") == 0
    assert json.loads(operator.out)["version"]
    assert operator.run("settings-schema") == 0
    assert (
        "node_id" in json.loads(operator.out)["$defs"]["Settings"]["required"]
    )


def test_keys_make_files_that_load(operator, tmp_path):
    link, signing = tmp_path / "link", tmp_path / "signing"
    assert operator.run("keys", "link", link, "--add") == 2
    assert operator.run("keys", "link", link) == 0
    first = security.load_link_keys(link).ok
    assert f"current: {first.public_key.decode()}" in operator.out
    assert operator.run("keys", "link", link) == 2
    assert operator.run("keys", "link", link, "--promote") == 2
    assert operator.run("keys", "link", link, "--add") == 0
    assert security.load_link_keys(link).ok.public_key == first.public_key
    assert operator.run("keys", "link", link, "--promote") == 0
    second = security.load_link_keys(link).ok
    assert second.public_key != first.public_key
    assert first.public_key in second.accepted_public_keys
    drop = ["--drop", first.public_key.decode(), "--accept", "z" * 40]
    assert operator.run("keys", "link", link, *drop) == 0
    third = security.load_link_keys(link).ok
    assert third.accepted_public_keys == {second.public_key, b"z" * 40}
    assert operator.run("keys", "signing", signing, "--add") == 2
    assert operator.run("keys", "signing", signing) == 0
    for step in ("--add", "--promote", "--retire"):
        assert operator.run("keys", "signing", signing, step) == 0
    assert security.load_attempt_signer(signing).is_ok()


def test_keys_make_tokens(operator, tmp_path):
    file, token_file = tmp_path / "operators", tmp_path / "new-token"
    arguments = ["keys", "operator", file, "--name", "ana", "--role", "admin"]
    assert operator.run(*arguments, "--token-file", token_file) == 0
    token = token_file.read_text().strip()
    assert token not in operator.out
    tokens = security.load_operator_tokens(file).ok
    assert tokens.authenticate(f"Bearer {token}").ok.name == "ana"
    caller = ["keys", "caller", "--name", "k", "--organisation", "council"]
    assert operator.run(*caller, "--output", "json") == 0
    made = json.loads(operator.out)
    named_objects = [*sets.sound_set(), made["credential"]]
    assert objects.check(named_objects) == []
    published = objects.PublishedSet(1, named_objects)
    digest = security.hash_token(made["token"])
    assert published.credential(digest)["name"] == "k"


def test_faulty_settings_are_told(operator, tmp_path):
    file = tmp_path / "node.json"
    file.write_text('{"node_id": "a"}')
    assert operator.run("entry", "--settings", file) == 1
    assert f"{file}: $: 'roles' is a required property" in operator.err


def test_check_imports_no_network_library():
    code = (
        "import sys; from buckthorntack import cli; "
        "cli.main(['check', sys.argv[1]]); "
        "print(sorted({'httpx', 'litestar', 'uvicorn', 'zmq', 'jsonschema'}"
        " & set(sys.modules)))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, str(EXAMPLE)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.splitlines()[-1] == "[]"
