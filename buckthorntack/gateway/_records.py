"""Records of other nodes whose values are out of range."""

from buckthorntack import discovery
from buckthorntack.gateway import _events


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


def log_refused(record_id, fault, sender, log):
    """Log a record that was set aside.

    :param record_id: id of its server or node.
    :param fault: its field that is out of range, and the value.
    :param sender: id of the node that sent it.
    :param log: the ``EventLog``.
    """
    log.write(
        _events.RECORD_REFUSED,
        record=repr(record_id),
        fault=fault,
        told_by=sender,
    )
