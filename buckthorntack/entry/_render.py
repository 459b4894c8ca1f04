"""HTTP responses with errors and JSON documents."""

import json

from buckthorntack.entry import _sink

JSON_TYPE = ("content-type", "application/json")
LENGTH_HEADER = "content-length"
MS_PER_SECOND = 1000


def build_error_document(error, request_id):
    """Build the error object that clients of model engines expect.

    :param error: the ``GatewayError``.
    :param request_id: id of the request.
    """
    return {
        "error": {
            "message": error.detail or error.kind,
            "type": error.kind,
            "code": error.number,
            "event": error.number,
            "run_state": error.run_state.value,
            "remedy": error.remedy,
            "request_id": request_id,
        }
    }


def build_error_headers(error):
    """Build the headers of an error response.

    :param error: the ``GatewayError``.
    """
    headers = [JSON_TYPE, ("x-run-state", error.run_state.value)]
    headers.append(("x-event", str(error.number)))
    if error.retry_after_ms is not None:
        seconds = -(-error.retry_after_ms // MS_PER_SECOND)
        headers.append(("retry-after", str(max(1, seconds))))
    return headers


async def send_error(sink: _sink.Sink, error, request_id):
    """Send an error response, or an error event if a stream has begun.

    :param sink: sink for the response.
    :param error: the ``GatewayError``.
    :param request_id: id of the request.
    """
    document = json.dumps(build_error_document(error, request_id)).encode()
    if sink.started:
        await sink.write(b"event: error\ndata: " + document + b"\n\n")
        await sink.finish()
    else:
        headers = build_error_headers(error)
        await send_whole(sink, error.status, headers, document)


async def send_json(sink, document, status=200):
    """Send a JSON document as the response.

    :param sink: sink for the response.
    :param document: the document.
    :param status: HTTP status code.
    """
    data = json.dumps(document).encode()
    await send_whole(sink, status, [JSON_TYPE], data)


async def send_whole(sink, status, headers, body, attempt_id=""):
    """Send a response whose whole body is known, with its length.

    :param sink: sink for the response.
    :param status: HTTP status code.
    :param headers: pairs of name and value.
    :param body: the body.
    :param attempt_id: id of the attempt that responds; empty for none.
    """
    fields = [pair for pair in headers if pair[0] != LENGTH_HEADER]
    if body:
        fields.append((LENGTH_HEADER, str(len(body))))
    await sink.start(status, fields, attempt_id)
    await sink.write(body)
    await sink.finish()
