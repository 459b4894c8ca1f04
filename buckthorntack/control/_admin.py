"""HTTP administration API for operators."""

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
#: Largest body of a change: holds the objects of 18,000 organisations.
MAX_CHANGE_BYTES = 32 * 1024 * 1024
#: Largest body of any other call.
MAX_BODY_BYTES = 64 * 1024

#: Largest number of schema violations listed in an error response.
_MAX_VIOLATIONS = 20
_CONFLICT_STATUS = 409
_FINDINGS_STATUS = 422
_LOG = events.EventLog("control")


def create_admin_app(
    administration: _administration.Administration,
    operator_tokens: security.OperatorTokens,
) -> litestar.Litestar:
    """Create the ASGI application of the administration API.

    :param administration: operations that the calls execute.
    :param operator_tokens: authenticates operators by their tokens.
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
            errors.GatewayError: _on_gateway_error,
            exceptions.HTTPException: _on_http_error,
            Exception: _on_unexpected_error,
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
    """Reject callers without a valid token or without the required role."""
    tokens = caller.app.state.operator_tokens
    min_role = handler.opt.get("role", security.Role.ADMIN)
    header = caller.headers.get("authorization")
    operator = tokens.authenticate(header).bind(
        lambda found: found.require_role(min_role)
    )
    caller.scope["state"]["operator"] = _unwrap(operator)


def _unwrap(result):
    if result.is_error():
        raise result.error
    return result.ok


def _get_administration(request):
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
    change = _unwrap(await asyncio.to_thread(_parse_body, "Change", body))
    operator = request.scope["state"]["operator"].name
    change = {**change, "operator": operator}
    outcome = await _get_administration(request).apply(change, operator)
    result = _unwrap(outcome)
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


def _parse_body(definition, body):
    """Parse a JSON body and validate it against a schema definition."""
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        detail = f"the request body is not valid JSON: {error}"
        return expression.Error(_errors.MalformedCallError(detail))
    violations = schema.validate_document(
        "admin", definition, document, _MAX_VIOLATIONS
    )
    if not violations:
        return expression.Ok(document)
    detail = "; ".join(
        f"{violation.path}: {violation.message}" for violation in violations
    )
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
        raise _errors.UnknownObjectError(f"no {kind} is named {name!r}")
    return found


async def _read_objects(request, kind, name, linearizable):
    if kind is not None and kind not in objects.KINDS:
        raise _errors.UnknownObjectError(
            f"no kind of object is named {kind!r}"
        )
    administration = _get_administration(request)
    return _unwrap(await administration.objects(kind, name, linearizable))


@litestar.get(f"{PREFIX}/history", role=security.Role.READER)
async def _get_history(
    request: litestar.Request,
    after: Annotated[int, params.QueryParameter(ge=0)] = 0,
) -> documents.History:
    return _unwrap(await _get_administration(request).history(after))


@litestar.get(f"{PREFIX}/status", role=security.Role.READER)
async def _get_status(request: litestar.Request) -> documents.Status:
    return _unwrap(await _get_administration(request).status())


@litestar.get(f"{PREFIX}/replicas", role=security.Role.READER)
async def _get_replicas(request: litestar.Request) -> documents.ReplicaList:
    return _unwrap(await _get_administration(request).replicas())


@litestar.post(f"{PREFIX}/replicas", status_code=200, role=security.Role.ADMIN)
async def _post_replica(request: litestar.Request) -> documents.ReplicaList:
    addition = _unwrap(_parse_body("ReplicaAddition", await request.body()))
    administration = _get_administration(request)
    node_id = addition["node_id"]
    replicas = _unwrap(await administration.add_replica(node_id))
    _log_replica_change(request, "add", node_id)
    return replicas


@litestar.delete(
    f"{PREFIX}/replicas/{{node_id:str}}",
    status_code=200,
    role=security.Role.ADMIN,
)
async def _delete_replica(
    request: litestar.Request, node_id: params.FromPath[str]
) -> documents.ReplicaList:
    administration = _get_administration(request)
    replicas = _unwrap(await administration.remove_replica(node_id))
    _log_replica_change(request, "remove", node_id)
    return replicas


def _log_replica_change(request, action, node_id):
    operator = request.scope["state"]["operator"].name
    _LOG.write(
        _events.REPLICAS_CHANGED,
        action=action,
        replica=node_id,
        operator=operator,
    )


def _on_gateway_error(
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
        build_error_body(error), status_code=error.status, headers=headers
    )


def build_error_body(error: errors.GatewayError) -> documents.AdminErrorAnswer:
    """Build the body of an error response.

    :param error: the error.
    :returns: the body, before JSON encoding.
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


def _on_http_error(
    request: litestar.Request, error: exceptions.HTTPException
) -> litestar.Response:
    """Convert an error of the web framework to an error of this API."""
    status = error.status_code
    if status == _errors.CallTooLargeError.status:
        gateway_error = _errors.CallTooLargeError(error.detail)
    elif status in (404, 405):
        gateway_error = _errors.UnknownCallError(
            f"no call {request.method} {request.url.path} exists"
        )
    elif status < 500:
        gateway_error = _errors.MalformedCallError(error.detail)
    else:
        return _on_unexpected_error(request, error)
    return _on_gateway_error(request, gateway_error)


def _on_unexpected_error(
    request: litestar.Request, error: Exception
) -> litestar.Response:
    _LOG.write(
        _events.ADMINISTRATION_FAULT,
        method=request.method,
        path=request.url.path,
        fault=repr(error),
    )
    gateway_error = _errors.InternalError(
        "the call failed with an internal error"
    )
    return _on_gateway_error(request, gateway_error)
