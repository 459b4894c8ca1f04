"""Errors as callers see them."""

import json

from buckthorntack.entry import _sink

JSON_TYPE = ("content-type", "application/json")
MILLISECONDS_A_SECOND = 1000


def error_document(error, request_id):
    """An error in the shape that clients of model engines know.

    :param error: the ``GatewayError``.
    :param request_id: the request's id.
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


def error_headers(error):
    """Headers of an error's answer.

    :param error: the ``GatewayError``.
    """
    headers = [JSON_TYPE, ("x-run-state", error.run_state.value)]
    headers.append(("x-event", str(error.number)))
    if error.retry_after_ms is not None:
        seconds = -(-error.retry_after_ms // MILLISECONDS_A_SECOND)
        headers.append(("retry-after", str(max(1, seconds))))
    return headers


async def send_error(sink: _sink.Sink, error, request_id):
    """Answer with an error, also in the middle of a stream.

    :param sink: where the answer goes.
    :param error: the ``GatewayError``.
    :param request_id: the request's id.
    """
    document = json.dumps(error_document(error, request_id)).encode()
    if sink.started:
        await sink.write(b"event: error\ndata: " + document + b"\n\n")
    else:
        await sink.start(error.status, error_headers(error), "")
        await sink.write(document)
    await sink.finish()


async def send_json(sink, document, status=200):
    """Answer with a JSON document.

    :param sink: where the answer goes.
    :param document: the document.
    :param status: HTTP status.
    """
    data = json.dumps(document).encode()
    await sink.start(status, [JSON_TYPE], "")
    await sink.write(data)
    await sink.finish()
