"""Calls of servers and operators at a control VM."""

import datetime
import urllib.parse

import msgspec

from buckthorntack import events
from buckthorntack import gateway
from buckthorntack.platform import _announcements
from buckthorntack.platform import _events
from buckthorntack.platform import _headers

_JSON = [(b"Content-Type", b"application/json")]
_NO_CONFIGURATION = 404
_UNIX_EPOCH = datetime.datetime.fromtimestamp(0, datetime.UTC)


def _operator_of(reply):
    return gateway.Operator(
        reply.peer, reply.has_client_left, reply.measure_age_ms
    )


def make_handlers(node):
    """Handlers of a control VM, by name.

    :param node: the ``gateway.ControlNode``.
    """
    api = ControlApi(node)
    return {"control": api.handle}


class ControlApi:
    """Calls of servers and operators.

    :param node: the ``gateway.ControlNode``.
    """

    def __init__(self, node):
        self.node = node
        self.log = events.EventLog("platform")

    async def handle(self, request, reply):
        """Answer one call.

        :param request: ``http1.Request``.
        :param reply: ``http1.ResponseWriter``.
        """
        path = request.target.partition(b"?")[0].decode("latin-1")
        collection, _, rest = path.partition("/")[2].partition("/")
        name = urllib.parse.unquote(rest)
        call = self._CALLS.get((request.method, collection))
        if call is None:
            self._send(reply, 404, {"error": "no such call"})
            return
        await call(self, request, reply, name)

    async def _announce(self, request, reply, name):
        read = _announcements.read_announcement(
            name,
            request.body,
            self.node.settings.regions,
            self.node.clock.wall() - _UNIX_EPOCH,
        )
        if read.is_error():
            self.log.write(
                _events.ANNOUNCEMENT_UNREADABLE, error=read.error.detail
            )
            self._send_error(reply, read.error)
            return
        self.node.gathering.on_announcement(read.ok)
        self._send(reply, *self._build_acknowledgement(read.ok))

    def _build_acknowledgement(self, record):
        """Answer an announcement; name where the next ones go to.

        What only this control VM knows would be lost to others while it is
        cut off from them, so that ready servers are sent on. Servers that
        drain are acknowledged, as they may stop before another one is.
        """
        registrar = self.node.gathering.choose_registrar(record)
        if registrar is not None:
            server_id = urllib.parse.quote(record.server_id, safe="")
            address = registrar.service_address
            url = f"http://{address}/instances/{server_id}"
            return 200, {"heartbeat_url": url}
        if record.state == "ready":
            return 503, {"error": "cut off from the other control VMs"}
        return 200, {}

    async def _leave(self, request, reply, name):
        read = _announcements.read_leave(request.body)
        if read.is_error():
            # The path names the server; only its incarnation is not known.
            self.log.write(
                _events.LEAVE_UNREADABLE, server=name, error=str(read.error)
            )
        born_ms = read.default_value(None)
        # Without its incarnation, a late notice would end the next one.
        if born_ms is None and not _operator_of(reply).is_waiting():
            self._send(reply, 503, {"error": "the call is out of date"})
            return
        self.node.gathering.on_leave(name, born_ms)
        self._send(reply, 200, {})

    async def _publish(self, request, reply, name):
        result = await self.node.publish(request.body, _operator_of(reply))
        if result.is_error():
            self._send_error(reply, result.error)
        else:
            self._send(reply, 200, {"version": result.ok})

    async def _read(self, request, reply, name):
        result = await self.node.read_directives()
        if result.is_error():
            self._send_error(reply, result.error)
        elif result.ok.version < 0:
            self._send(reply, _NO_CONFIGURATION, {"error": "none yet"})
        else:
            reply.send(200, _JSON, result.ok.content)

    async def _evacuate(self, request, reply, name):
        await self._order_evacuation(reply, name, True)

    async def _return(self, request, reply, name):
        await self._order_evacuation(reply, name, False)

    async def _order_evacuation(self, reply, name, evacuated):
        operator = _operator_of(reply)
        result = await self.node.evacuate(name, evacuated, operator)
        if result.is_error():
            self._send_error(reply, result.error)
        else:
            self._send(reply, 200, {})

    def _send(self, reply, status, document, headers=()):
        fields = [*_JSON, *headers]
        reply.send(status, fields, msgspec.json.encode(document))

    def _send_error(self, reply, error):
        document = {"error": error.detail, "kind": error.kind}
        headers = []
        if error.retry_after_ms is not None:
            seconds = f"{error.retry_after_ms / 1e3:.3f}".encode()
            headers.append((_headers.RETRY_AFTER, seconds))
        self._send(reply, error.status, document, headers)

    _CALLS = {
        (b"PUT", "instances"): _announce,
        (b"DELETE", "instances"): _leave,
        (b"PUT", "config"): _publish,
        (b"GET", "config"): _read,
        (b"POST", "evacuations"): _evacuate,
        (b"DELETE", "evacuations"): _return,
    }
