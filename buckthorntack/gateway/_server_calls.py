"""Calls of an entry VM to servers beside the requests of callers."""

import asyncio
import datetime

from buckthorntack import http1

#: Body bytes of an answer that are read, so that its connection can be
#: reused.
MAX_ANSWER_BYTES = 65_536
#: Longest wait for what a server says of its state, for which it needs no
#: slot.
STATE_TIMEOUT = datetime.timedelta(milliseconds=400)


async def get(connection, path, headers, max_wait):
    """Get an answer of a server on an open connection.

    The connection is closed if the answer is not read to its end.

    :param connection: the ``http1.Connection``.
    :param path: path of the call.
    :param headers: list of name and value pairs.
    :param max_wait: longest wait; a ``timedelta``.
    :returns: ``http1.ResponseHead`` and body.
    :raises TimeoutError: the answer did not come in time.
    :raises IncompleteResponseError: the connection broke.
    """
    payload = http1.encode_request(b"GET", path, headers, b"")
    body = bytearray()
    try:
        async with asyncio.timeout(max_wait.total_seconds()):
            connection.send(payload, None)
            head = await connection.read_head()
            while data := await connection.read():
                body += data
                if len(body) > MAX_ANSWER_BYTES:
                    connection.close()
                    break
    except (TimeoutError, http1.IncompleteResponseError):
        connection.close()
        raise
    return head, bytes(body)


async def get_start(connection, dialect, address):
    """Get the start of the server at the other end of a connection.

    :param connection: the ``http1.Connection``.
    :param dialect: the ``Dialect``.
    :param address: IP address and port of the server.
    :returns: Unix milliseconds; None if the server does not say.
    :raises TimeoutError: the answer did not come in time.
    :raises IncompleteResponseError: the connection broke.
    """
    timeout_ms = STATE_TIMEOUT // datetime.timedelta(milliseconds=1)
    headers = dialect.build_health_headers(address, timeout_ms)
    head, body = await get(
        connection, dialect.state_path, headers, STATE_TIMEOUT
    )
    return dialect.parse_start(body) if head.status == 200 else None
