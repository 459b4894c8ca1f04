"""What a response tells of the server that sent it."""

from buckthorntack.gateway import _events


def note_server_state(handler, request_id, attempt, metadata):
    """Note what a response tells of the server that sent it.

    :param handler: the ``RequestHandler``.
    :param request_id: id of the request.
    :param attempt: the ``Attempt`` at the server.
    :param metadata: the ``ResponseMetadata``.
    """
    if metadata.is_other_server:
        return
    shared_state = handler.shared_state
    server_id = attempt.destination
    now = handler.clock.monotonic()
    _note_limits(handler, request_id, attempt, metadata, now)
    if _has_restarted(shared_state.registry, attempt.incarnation):
        return
    if metadata.pause_s is not None:
        state = shared_state.fleet.state(server_id)
        state.pause(now.total_seconds(), metadata.pause_s)
        handler.log.write(
            _events.SERVER_PAUSED,
            request=request_id,
            server=server_id,
            pause_s=metadata.pause_s,
        )
    registry = shared_state.registry
    if metadata.is_leaving and registry.mark_server_leaving(server_id, now):
        shared_state.on_servers_changed([server_id])
        handler.log.write(
            _events.SERVER_LEAVING, request=request_id, server=server_id
        )


def _has_restarted(registry, incarnation):
    """Whether a later start of a server is known."""
    view = registry.servers.get(incarnation.server_id)
    return view is not None and view.record.born_ms > incarnation.born_ms


def _note_limits(handler, request_id, attempt, metadata, now):
    shared_state = handler.shared_state
    limits = shared_state.fleet.limits
    server_id, born_ms = attempt.incarnation
    now_s = now.total_seconds()
    if metadata.limit is None or metadata.brittleness is None:
        # What cannot be read says nothing.
        handler.log.write(
            _events.LIMIT_UNREADABLE, request=request_id, server=server_id
        )
    limit, brittleness = metadata.limit, metadata.brittleness
    is_changed = limits.on_answer(
        server_id,
        born_ms,
        limits.per_s(server_id, born_ms) if limit is None else limit.per_s,
        attempt.sent_at.total_seconds(),
        now_s,
        limits.rejections_per_s(server_id)
        if brittleness is None
        else brittleness.per_s,
    )
    if metadata.not_run:
        is_changed |= limits.on_rejection(server_id, now_s)
    if is_changed:
        shared_state.exchange.on_limit_changed()
        shared_state.wake_if_urgent()
        shared_state.log_limits(server_id)
