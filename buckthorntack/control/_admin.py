"""Administration API: operators' calls over HTTP."""

import asyncio
from typing import Annotated

import expression
import litestar
from litestar import connection
from litestar import exceptions
from litestar import handlers
from litestar import params
import msgspec

from buckthorntack import errors
from buckthorntack import events
from buckthorntack import objects
from buckthorntack import schema
from buckthorntack import security
from buckthorntack.control import _administration
from buckthorntack.control import _errors
from buckthorntack.control import _events
from buckthorntack.schema import documents

PREFIX = "/admin/v1"
#: Largest body of a change; holds the whole set of 18,000 organisations.
MAX_CHANGE_BYTES = 32 * 1024 * 1024
#: Largest body of any other call.
MAX_BODY_BYTES = 64 * 1024

#: Most faults of a malformed body that are told.
_MAX_FAULTS = 20
_CONFLICT_STATUS = 409
_FINDINGS_STATUS = 422
_LOG = events.EventLog("control")


def create_admin_app(
    administration: _administration.Administration,
    operator_tokens: security.OperatorTokens,
) -> litestar.Litestar:
    """Make the application of the administration API.

    :param administration: carries out the calls.
    :param operator_tokens: knows operators by their tokens.
    :returns: an ASGI application.
    """
    app = litestar.Litestar(
        route_handlers=[
            _post_change,
            _get_objects,
            _get_kind,
            _get_object,
            _get_history,
            _get_status,
            _get_replicas,
            _post_replica,
            _delete_replica,
        ],
        guards=[_require_role],
        exception_handlers={
            errors.GatewayError: _answer_gateway_error,
            exceptions.HTTPException: _answer_http_error,
            Exception: _answer_fault,
        },
        request_max_body_size=MAX_BODY_BYTES,
        openapi_config=None,
        logging_config=None,
    )
    app.state.administration = administration
    app.state.operator_tokens = operator_tokens
    return app


def _require_role(
    caller: connection.ASGIConnection, handler: handlers.BaseRouteHandler
) -> None:
    """Let in only operators whose role suffices."""
    tokens = caller.app.state.operator_tokens
    least = handler.opt.get("role", security.Role.ADMIN)
    header = caller.headers.get("authorization")
    operator = tokens.authenticate(header).bind(
        lambda found: found.require_role(least)
    )
    caller.scope["state"]["operator"] = _unwrap(operator)


def _unwrap(result):
    if result.is_error():
        raise result.error
    return result.ok


def _administration_of(request):
    return request.app.state.administration


@litestar.post(
    f"{PREFIX}/changes",
    request_max_body_size=MAX_CHANGE_BYTES,
    status_code=200,
    role=security.Role.OPERATOR,
)
async def _post_change(
    request: litestar.Request,
) -> litestar.Response[documents.ChangeResult]:
    body = await request.body()
    change = _unwrap(await asyncio.to_thread(_parse, "Change", body))
    operator = request.scope["state"]["operator"].name
    change = {**change, "operator": operator}
    answer = await _administration_of(request).apply(change, operator)
    result = _unwrap(answer)
    _LOG.write(
        _events.CHANGE_ANSWERED,
        change_id=change["change_id"],
        operator=operator,
        accepted=result["accepted"],
        revision=result["revision"],
        conflict=result.get("conflict", False),
        findings=len(result.get("findings", ())),
    )
    return litestar.Response(result, status_code=_change_status(result))


def _change_status(result):
    if result["accepted"]:
        return 200
    return _CONFLICT_STATUS if result.get("conflict") else _FINDINGS_STATUS


def _parse(definition, body):
    """Parse and check a body of JSON."""
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        detail = f"the body is not JSON: {error}"
        return expression.Error(_errors.MalformedCallError(detail))
    faults = schema.validate_document(
        "admin", definition, document, _MAX_FAULTS
    )
    if not faults:
        return expression.Ok(document)
    detail = "; ".join(f"{fault.path}: {fault.message}" for fault in faults)
    return expression.Error(_errors.MalformedCallError(detail))


@litestar.get(f"{PREFIX}/objects", role=security.Role.READER)
async def _get_objects(
    request: litestar.Request, linearizable: params.FromQuery[bool] = True
) -> documents.ObjectList:
    return await _read_objects(request, None, None, linearizable)


@litestar.get(f"{PREFIX}/objects/{{kind:str}}", role=security.Role.READER)
async def _get_kind(
    request: litestar.Request,
    kind: params.FromPath[str],
    linearizable: params.FromQuery[bool] = True,
) -> documents.ObjectList:
    return await _read_objects(request, kind, None, linearizable)


@litestar.get(
    f"{PREFIX}/objects/{{kind:str}}/{{name:str}}", role=security.Role.READER
)
async def _get_object(
    request: litestar.Request,
    kind: params.FromPath[str],
    name: params.FromPath[str],
    linearizable: params.FromQuery[bool] = True,
) -> documents.ObjectList:
    found = await _read_objects(request, kind, name, linearizable)
    if not found["objects"]:
        raise _errors.UnknownObjectError(f"there is no {kind} {name!r}")
    return found


async def _read_objects(request, kind, name, linearizable):
    if kind is not None and kind not in objects.KINDS:
        raise _errors.UnknownObjectError(f"there is no kind {kind!r}")
    administration = _administration_of(request)
    return _unwrap(await administration.objects(kind, name, linearizable))


@litestar.get(f"{PREFIX}/history", role=security.Role.READER)
async def _get_history(
    request: litestar.Request,
    after: Annotated[int, params.QueryParameter(ge=0)] = 0,
) -> documents.History:
    return _unwrap(await _administration_of(request).history(after))


@litestar.get(f"{PREFIX}/status", role=security.Role.READER)
async def _get_status(request: litestar.Request) -> documents.Status:
    return _unwrap(await _administration_of(request).status())


@litestar.get(f"{PREFIX}/replicas", role=security.Role.READER)
async def _get_replicas(request: litestar.Request) -> documents.ReplicaList:
    return _unwrap(await _administration_of(request).replicas())


@litestar.post(f"{PREFIX}/replicas", status_code=200, role=security.Role.ADMIN)
async def _post_replica(request: litestar.Request) -> documents.ReplicaList:
    addition = _unwrap(_parse("ReplicaAddition", await request.body()))
    administration = _administration_of(request)
    node_id = addition["node_id"]
    answer = _unwrap(await administration.add_replica(node_id))
    _log_replicas(request, "add", node_id)
    return answer


@litestar.delete(
    f"{PREFIX}/replicas/{{node_id:str}}",
    status_code=200,
    role=security.Role.ADMIN,
)
async def _delete_replica(
    request: litestar.Request, node_id: params.FromPath[str]
) -> documents.ReplicaList:
    administration = _administration_of(request)
    answer = _unwrap(await administration.remove_replica(node_id))
    _log_replicas(request, "remove", node_id)
    return answer


def _log_replicas(request, action, node_id):
    operator = request.scope["state"]["operator"].name
    _LOG.write(
        _events.REPLICAS_CHANGED,
        action=action,
        replica=node_id,
        operator=operator,
    )


def _answer_gateway_error(
    request: litestar.Request, error: errors.GatewayError
) -> litestar.Response:
    _LOG.write(
        _events.CALL_REFUSED,
        method=request.method,
        path=request.url.path,
        error=error.number,
        detail=error.detail,
    )
    headers = {"X-Run-State": str(error.run_state)}
    if error.status == security.CredentialError.status:
        headers["WWW-Authenticate"] = "Bearer"
    if error.retry_after_ms is not None:
        headers["Retry-After"] = str(-(-error.retry_after_ms // 1000))
    return litestar.Response(
        error_answer(error), status_code=error.status, headers=headers
    )


def error_answer(error: errors.GatewayError) -> documents.AdminErrorAnswer:
    """Body that tells of an error.

    :param error: the error.
    :returns: the body.
    """
    content = {
        "number": error.number,
        "type": error.kind,
        "message": error.detail,
        "remedy": error.remedy,
        "run_state": str(error.run_state),
    }
    if error.retry_after_ms is not None:
        content["retry_after_ms"] = error.retry_after_ms
    return {"error": content}


def _answer_http_error(
    request: litestar.Request, error: exceptions.HTTPException
) -> litestar.Response:
    """Answer what the framework refuses, in the shape of our errors."""
    status = error.status_code
    if status == _errors.CallTooLargeError.status:
        ours = _errors.CallTooLargeError(error.detail)
    elif status in (404, 405):
        ours = _errors.UnknownCallError(
            f"there is no call {request.method} {request.url.path}"
        )
    elif status < 500:
        ours = _errors.MalformedCallError(error.detail)
    else:
        return _answer_fault(request, error)
    return _answer_gateway_error(request, ours)


def _answer_fault(
    request: litestar.Request, error: Exception
) -> litestar.Response:
    _LOG.write(
        _events.ADMINISTRATION_FAULT,
        method=request.method,
        path=request.url.path,
        fault=repr(error),
    )
    ours = _errors.AdministrationFault("the call failed")
    return _answer_gateway_error(request, ours)
