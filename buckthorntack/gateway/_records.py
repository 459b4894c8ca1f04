"""Records of other nodes whose values are out of range."""

from buckthorntack import discovery
from buckthorntack import dispatch
from buckthorntack.gateway import _events

#: Length of a value that is logged.
MAX_LOGGED_LENGTH = 256


def set_aside_unsound(changes, sender, log):
    """Take the records that are out of range out of changes, and log them.

    :param changes: ``RegistryChanges``.
    :param sender: id of the node that sent them.
    :param log: the ``EventLog``.
    :returns: the other changes.
    """
    sound, unsound = discovery.set_aside_unsound(changes)
    for record in unsound:
        log_refused(record.record_id, record.fault, sender, log)
    return sound


def set_aside_statements(report, sender, log):
    """Take the parts that are out of range out of a report, and log them.

    :param report: ``UseReport`` or ``RegionLoad``.
    :param sender: id of the entry VM that sent it.
    :param log: the ``EventLog``.
    :returns: the report without them.
    """
    sound, unsound = dispatch.set_aside_unsound(report)
    for statement in unsound:
        log_refused(statement.subject, statement.content, sender, log)
    return sound


def take_presence_reply(local_presence, reply, sender, log):
    """Tell this node's presence of a reply, unless that is out of range.

    :param local_presence: the ``LocalPresence``.
    :param reply: ``PresenceReply``.
    :param sender: id of the control VM that sent it.
    :param log: the ``EventLog``.
    """
    if discovery.is_incarnation(reply.incarnation):
        local_presence.on_presence_reply(reply)
        return
    fault = f"incarnation {reply.incarnation}"
    log_refused(local_presence.node_id, fault, sender, log)


def log_refused(record_id, fault, sender, log):
    """Log a record that was set aside.

    :param record_id: id of its server or node.
    :param fault: its field that is out of range, and the value.
    :param sender: id of the node that sent it.
    :param log: the ``EventLog``.
    """
    log.write(
        _events.RECORD_REFUSED,
        record=repr(record_id[:MAX_LOGGED_LENGTH]),
        fault=fault[:MAX_LOGGED_LENGTH],
        told_by=sender,
    )
