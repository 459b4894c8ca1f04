"""Replicated state machine of the configuration group."""

import functools
from typing import NamedTuple

import expression

from buckthorntack import events
from buckthorntack import objects
from buckthorntack import schema
from buckthorntack.configuration import _changes
from buckthorntack.configuration import _content
from buckthorntack.configuration import _errors
from buckthorntack.configuration import _events
from buckthorntack.configuration import _log
from buckthorntack.configuration import _narrowing
from buckthorntack.schema import messages

_LOG = events.EventLog("configuration")


class ChangePending(NamedTuple):
    """A change awaits confirmation by entry VMs of some regions."""

    change_id: str
    revision: int
    regions: list[str]


class ConfigurationMachine:
    """State machine of the published objects.

    Commands are ``ConfigurationProposal``, ``ConfigurationSettlement`` and
    ``ConfigurationRegistration``.  A change that takes an organisation out
    of a region is first applied as an interim revision that only removes
    permissions, and is accepted by a settlement once the entry VMs of that
    region have confirmed it; see docs/design/configuration.md.

    :param check_change: checks a change to a published set, as
        :func:`buckthorntack.objects.check_change` does.
    """

    def __init__(self, check_change=objects.check_change):
        self.check_change = check_change
        self.log = _log.PublishedLog()
        self.change_history = _changes.ChangeHistory()
        self.pending = None
        self.entry_vms = {}
        self.log_time_ms = 0
        self._listeners = []

    @property
    def published(self):
        """Current published set."""
        return self.log.published

    @property
    def revision(self):
        """Current revision."""
        return self.log.revision

    def add_listener(self, listener):
        """Call a function after each command and each restore.

        :param listener: called without arguments; must not block.
        """
        self._listeners.append(listener)

    def remove_listener(self, listener):
        """Remove a function added by :meth:`add_listener`.

        :param listener: the function.
        """
        self._listeners.remove(listener)

    def apply(self, index, command):
        """Apply one committed command.

        :param index: index of the command in the log.
        :param command: a packed message.
        :returns: ``Result``; a proposal gives a ``ChangeResult`` or a
            :class:`ChangePending`.
        """
        result = self._apply(schema.unpack(command))
        self._notify_listeners()
        return result

    def _notify_listeners(self):
        for listener in list(self._listeners):
            listener()

    @functools.singledispatchmethod
    def _apply(self, command):
        raise TypeError(f"{type(command).__name__} is not a command")

    @_apply.register
    def _apply_proposal(self, command: messages.ConfigurationProposal):
        self.log_time_ms = max(self.log_time_ms, command.proposed_at_ms)
        known = self.find_result(command.change_id, command.fingerprint)
        if known is not None:
            return known
        if self.pending:
            findings = [_build_pending_finding(self.pending)]
            return self._record_result(
                command, conflict=True, findings=findings
            )
        if command.base_revision != self.revision:
            return self._record_result(command, conflict=True)
        put = _content.decode_objects(command.put)
        remove = self._list_removals(command, put)
        findings = self.check_change(self.published, put, remove)
        if findings:
            return self._record_result(command, findings=findings)
        return self._start_change(command, put, remove)

    def find_result(self, change_id, fingerprint):
        """Return the earlier result of a change that is resent.

        :param change_id: id of the change.
        :param fingerprint: digest of its content.
        :returns: ``Result``, or ``None`` for an unknown change id.
        """
        record = self.change_history.get(change_id)
        pending = self.pending
        if record is None and pending and pending.change_id == change_id:
            record = pending
        if record is None:
            return None
        if record.fingerprint != fingerprint:
            detail = f"change id {change_id!r} was used with other content"
            return expression.Error(_errors.ChangeIdReusedError(detail))
        if record is pending:
            return expression.Ok(self._build_pending_result())
        return expression.Ok(_changes.build_change_result(record))

    def _build_pending_result(self):
        pending = self.pending
        return ChangePending(
            pending.change_id, pending.revision, list(pending.regions)
        )

    def _list_removals(self, command, put):
        remove = _content.decode_names(command.remove)
        if not command.replace_all:
            return remove
        kept = {(entry["kind"], _find_name(entry)) for entry in put}
        kept |= {(entry["kind"], entry["name"]) for entry in remove}
        for entry in self.published.named_objects():
            kind, name = entry["kind"], entry["object"]["name"]
            if (kind, name) not in kept:
                remove.append({"kind": kind, "name": name})
        return remove

    def _start_change(self, command, put, remove):
        after = self.published.with_changes(self.revision + 1, put, remove)
        interim_step = _narrowing.plan_interim_step(
            self.published, after, put, remove
        )
        if not self._list_affected_entry_vms(
            interim_step.regions, command.stopped_entry_vms
        ):
            self._append_delta(put, remove)
            self._remove_stopped_entry_vms(command.stopped_entry_vms)
            return self._record_result(command, accepted=True)
        return self._append_interim_revision(
            command, put, remove, interim_step
        )

    def is_registered(self, node_id, registration):
        """Return whether an entry VM is registered under a number.

        :param node_id: the entry VM.
        :param registration: number of its registration.
        """
        known = self.entry_vms.get(node_id)
        return known is not None and known.registration == registration

    def _list_affected_entry_vms(self, regions, stopped):
        return [
            node_id
            for node_id, entry_vm in self.entry_vms.items()
            if entry_vm.region in regions and node_id not in stopped
        ]

    def list_awaited_entry_vms(self):
        """Return ids of the entry VMs that must confirm the pending change."""
        if self.pending is None:
            return []
        pending = self.pending
        return self._list_affected_entry_vms(
            pending.regions, pending.stopped_entry_vms
        )

    def _append_interim_revision(self, command, put, remove, interim_step):
        revision = self.revision + 1
        remove = [*remove, *interim_step.extra_rules]
        self.pending = messages.PendingChange(
            change_id=command.change_id,
            fingerprint=command.fingerprint,
            stopped_entry_vms=command.stopped_entry_vms,
            operator=command.operator,
            note=command.note,
            proposed_at_ms=command.proposed_at_ms,
            revision=revision,
            regions=sorted(interim_step.regions),
            restore=_build_delta(
                revision + 1,
                interim_step.restore_put,
                interim_step.extra_rules,
            ),
            complete=_build_delta(revision + 1, put, remove),
        )
        self._append_delta(interim_step.put, [])
        _LOG.write(
            _events.CHANGE_PENDING,
            change_id=command.change_id,
            revision=revision,
            regions=",".join(self.pending.regions),
        )
        return expression.Ok(self._build_pending_result())

    def _append_delta(self, put, remove):
        self.log.append(
            schema.pack(_build_delta(self.revision + 1, put, remove))
        )

    def _remove_stopped_entry_vms(self, stopped):
        for node_id in stopped:
            self.entry_vms.pop(node_id, None)

    @_apply.register
    def _apply_settlement(self, command: messages.ConfigurationSettlement):
        pending = self.pending
        self.log_time_ms = max(self.log_time_ms, command.proposed_at_ms)
        if pending is None or pending.revision != command.revision:
            return expression.Ok(None)
        self.pending = None
        if command.confirmed:
            self.log.append(schema.pack(pending.complete))
            self._remove_stopped_entry_vms(pending.stopped_entry_vms)
            return self._record_result(pending, accepted=True)
        self.log.append(schema.pack(pending.restore))
        findings = [_build_unconfirmed_finding(pending, command.unconfirmed)]
        _LOG.write(
            _events.CHANGE_WITHDRAWN,
            change_id=pending.change_id,
            unconfirmed=",".join(command.unconfirmed),
        )
        return self._record_result(pending, findings=findings)

    @_apply.register
    def _apply_registration(self, command: messages.ConfigurationRegistration):
        known = self.entry_vms.get(command.node_id)
        number = -1 if known is None else known.registration
        if command.present and command.registration > number:
            self.entry_vms[command.node_id] = command
        elif not command.present and command.registration == number:
            del self.entry_vms[command.node_id]
        else:
            return expression.Ok(None)
        _LOG.write(
            _events.ENTRY_REGISTERED,
            node_id=command.node_id,
            present=command.present,
        )
        return expression.Ok(None)

    def _record_result(
        self, change, accepted=False, conflict=False, findings=()
    ):
        kept = list(findings)[: _changes.MAX_RECORD_FINDINGS]
        record = messages.ChangeRecord(
            change_id=change.change_id,
            fingerprint=change.fingerprint,
            accepted=accepted,
            conflict=conflict,
            revision=self.revision,
            findings=_content.encode(kept) if kept else b"",
            operator=change.operator,
            note=change.note,
            proposed_at_ms=change.proposed_at_ms,
        )
        self.change_history.add(record, self.log_time_ms)
        _LOG.write(
            _events.CHANGE_DECIDED,
            change_id=change.change_id,
            operator=change.operator,
            accepted=accepted,
            conflict=conflict,
            findings=len(findings),
            revision=self.revision,
        )
        return expression.Ok(_changes.build_change_result(record))

    def snapshot(self):
        """Return the whole state as bytes."""
        return schema.pack(
            messages.ConfigurationSnapshot(
                copy=self.log.encode_copy(),
                steps=self._encoded_steps(),
                history=self.change_history.records(),
                pending=[] if self.pending is None else [self.pending],
                entry_vms=list(self.entry_vms.values()),
                log_time_ms=self.log_time_ms,
            )
        )

    def _encoded_steps(self):
        steps = self.log.steps()
        return [messages.ConfigurationStep(*step) for step in steps]

    def restore(self, snapshot):
        """Replace the state.

        :param snapshot: bytes returned by :meth:`snapshot`.
        """
        state = schema.unpack(snapshot)
        steps = [(step.delta, step.digest) for step in state.steps]
        self.log.load(state.copy, steps)
        self.change_history.load(state.history)
        self.pending = state.pending[0] if state.pending else None
        self.entry_vms = {one.node_id: one for one in state.entry_vms}
        self.log_time_ms = state.log_time_ms
        self._notify_listeners()


def _find_name(entry):
    """Return the name in an object that is not validated yet."""
    name = entry["object"].get("name")
    return name if isinstance(name, str) else None


def _build_delta(revision, put, remove):
    return messages.ConfigurationDelta(
        revision=revision,
        put=_content.encode(put),
        remove=_content.encode(remove),
    )


def _build_pending_finding(pending):
    return {
        "rule": "change_pending",
        "kind": "Region",
        "name": ", ".join(pending.regions),
        "path": "",
        "message": f"change {pending.change_id!r} awaits confirmation",
        "remedy": "read the objects again in a few seconds and send a new "
        "change",
    }


def _build_unconfirmed_finding(pending, unconfirmed):
    return {
        "rule": "not_confirmed",
        "kind": "Region",
        "name": ", ".join(pending.regions),
        "path": "",
        "message": "the change takes an organisation out of the region, and "
        f"entry VMs did not confirm it: {', '.join(unconfirmed)}",
        "remedy": "restore contact to them and send a new change, or make "
        "sure they are stopped and list them in stopped_entry_vms",
    }
