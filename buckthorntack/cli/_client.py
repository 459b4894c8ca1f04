"""Client of the administration API."""

import datetime
from typing import NamedTuple
import urllib.parse

import expression
import httpx

from buckthorntack import errors
from buckthorntack import schema
from buckthorntack.cli import _errors
from buckthorntack.cli import _exit_codes
from buckthorntack.schema import documents

_PREFIX = "/admin/v1"
_TRY_SECONDS = 10
_RETRY_PAUSE = datetime.timedelta(milliseconds=500)
_TOO_MANY_REQUESTS = 429
_CHANGE_ANSWERS = (200, 409, 422)
_NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.InvalidURL)


class AdminClient:
    """Calls the control VMs in turn until one answers.

    All calls are idempotent, a change by its change id, and so are sent
    again after an answer was lost.

    :param servers: base URLs of control VMs.
    :param token: the operator's token.
    :param clock: for the pauses between tries.
    :param patience: how long to go on trying.
    :param verify: what ``httpx`` takes to verify certificates.
    :param transport: ``httpx`` transport, if not its own.
    """

    def __init__(
        self, servers, token, clock, patience, verify=True, transport=None
    ):
        self._servers = tuple(server.rstrip("/") for server in servers)
        self._token = token
        self._clock = clock
        self._patience = patience
        self._verify = verify
        self._transport = transport
        self._http = None

    async def __aenter__(self):
        self._http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {self._token}"},
            timeout=_TRY_SECONDS,
            trust_env=False,
            verify=self._verify,
            transport=self._transport,
        )
        return self

    async def __aexit__(self, *_):
        await self._http.aclose()

    async def objects(
        self, kind=None, name=None, linearizable=True
    ) -> expression.Result[documents.ObjectList, _errors.CommandError]:
        """Objects in force.

        :param kind: only those of this kind, if given.
        :param name: only the one of this name, if given.
        :param linearizable: whether all accepted changes must be in.
        """
        parts = [urllib.parse.quote(part, "") for part in (kind, name) if part]
        path = "/".join(["objects", *parts])
        query = {"linearizable": str(linearizable).lower()}
        return await self._call("GET", path, "ObjectList", params=query)

    async def apply(
        self, change: documents.Change
    ) -> expression.Result[documents.ChangeResult, _errors.CommandError]:
        """Send a change, again under its change id after a lost answer.

        :param change: the change.
        """
        return await self._call(
            "POST", "changes", "ChangeResult", _CHANGE_ANSWERS, json=change
        )

    async def history(
        self, after
    ) -> expression.Result[documents.History, _errors.CommandError]:
        """Accepted changes.

        :param after: only those of a later revision.
        """
        query = {"after": after}
        return await self._call("GET", "history", "History", params=query)

    async def status(
        self,
    ) -> expression.Result[documents.Status, _errors.CommandError]:
        """State of the configuration."""
        return await self._call("GET", "status", "Status")

    async def replicas(
        self,
    ) -> expression.Result[documents.ReplicaList, _errors.CommandError]:
        """Replicas of the configuration group."""
        return await self._call("GET", "replicas", "ReplicaList")

    async def add_replica(
        self, node_id
    ) -> expression.Result[documents.ReplicaList, _errors.CommandError]:
        """Add a replica.

        :param node_id: a control VM.
        """
        body = {"node_id": node_id}
        return await self._call("POST", "replicas", "ReplicaList", json=body)

    async def remove_replica(
        self, node_id
    ) -> expression.Result[documents.ReplicaList, _errors.CommandError]:
        """Remove a replica.

        :param node_id: the replica.
        """
        path = f"replicas/{urllib.parse.quote(node_id, '')}"
        return await self._call("DELETE", path, "ReplicaList")

    async def _call(self, method, path, kind, expected=(200,), **request):
        """Try the servers in turn until one decides or patience ends."""
        deadline = self._clock.monotonic() + self._patience
        may_have_run = False
        while True:
            for server in self._servers:
                url = f"{server}{_PREFIX}/{path}"
                answer = await self._try(method, url, request)
                result = answer.bind(_Decoder(url, kind, expected))
                if result.is_ok():
                    return result
                error = result.error
                may_have_run |= error.run_state != errors.RunState.NOT_RUN
                if may_have_run:
                    error.run_state = errors.RunState.UNKNOWN
                    error.exit_code = _exit_codes.ExitCode.UNREACHABLE
                if not error.is_temporary:
                    return result
            if self._clock.monotonic() >= deadline:
                return result
            await self._clock.sleep(_RETRY_PAUSE)

    async def _try(self, method, url, request):
        try:
            answer = await self._http.request(method, url, **request)
        except (httpx.TransportError, httpx.InvalidURL) as error:
            return expression.Error(_unreachable(method, url, error))
        return expression.Ok(answer)


class _Decoder(NamedTuple):
    """Turns an answer into a document or an error."""

    url: str
    kind: str
    expected: tuple[int, ...]

    def __call__(self, answer):
        try:
            content = answer.json()
        except ValueError:
            content = None
        if answer.status_code in self.expected and self._fits(content):
            return expression.Ok(content)
        error = _refusal(self.url, answer.status_code, content)
        return expression.Error(error)

    def _fits(self, content):
        """Whether all fields are there; newer ones may be there besides."""
        definitions = schema.document_schema("admin")["$defs"]
        required = definitions[self.kind]["required"]
        return isinstance(content, dict) and content.keys() >= set(required)


def _unreachable(method, url, error):
    fault = str(error) or type(error).__name__
    unreachable = _errors.UnreachableError(f"{method} {url}: {fault}")
    if isinstance(error, _NEVER_SENT):
        unreachable.run_state = errors.RunState.NOT_RUN
    return unreachable


def _refusal(url, status, content):
    try:
        error = _errors.RefusedError(content["error"])
    except (KeyError, TypeError, ValueError):
        detail = f"{url}: status {status} is no answer of a control VM"
        return _errors.UnreachableError(detail)
    error.is_temporary = status >= 500 or status == _TOO_MANY_REQUESTS
    return error
