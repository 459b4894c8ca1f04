"""Small helpers for applications that speak ASGI directly."""

import json


async def read_body(receive):
    """Read the whole body of a request.

    :param receive: ASGI receive function.
    :returns: the body; None if the client disconnected before its end.
    """
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


def header(scope, name):
    """One header of a request.

    :param scope: ASGI scope.
    :param name: its name, in lower case.
    :returns: its value, or an empty text.
    """
    for key, value in scope["headers"]:
        if key == name.encode():
            return value.decode("latin-1")
    return ""


async def start(send, status, headers):
    """Send the head of an answer.

    :param send: ASGI send.
    :param status: HTTP status.
    :param headers: names and values.
    """
    pairs = [(k.lower().encode(), v.encode()) for k, v in headers.items()]
    await send(
        {"type": "http.response.start", "status": status, "headers": pairs}
    )


async def body(send, data, more=False):
    """Send a part of the body.

    :param send: ASGI send.
    :param data: the bytes.
    :param more: whether more follows.
    """
    await send({"type": "http.response.body", "body": data, "more_body": more})


async def answer_json(send, status, document, headers=()):
    """Send a whole JSON answer.

    :param send: ASGI send.
    :param status: HTTP status.
    :param document: what to send.
    :param headers: further names and values.
    """
    data = json.dumps(document).encode()
    told = {
        "content-type": "application/json",
        "content-length": str(len(data)),
        **dict(headers),
    }
    await start(send, status, told)
    await body(send, data)
