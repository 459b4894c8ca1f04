"""Selection of the control VM that an entry VM reports to and follows."""

import datetime
from typing import NamedTuple


class _ControlVm(NamedTuple):
    region: str
    failure_domain: str
    report_sent_at: datetime.timedelta | None
    replied_at: datetime.timedelta | None
    has_majority: bool


class ControlVmSelector:
    """Chooses among the control VMs that an entry VM knows.

    It prefers a control VM that has what the majority has committed, then the
    nearest one, then the one that is followed already.

    :param region: region of the entry VM.
    :param failure_domain: failure domain of the entry VM.
    :param timing: the ``Timing``.
    :param rng: random number generator.
    """

    def __init__(self, region, failure_domain, timing, rng):
        self.region = region
        self.failure_domain = failure_domain
        self.timing = timing
        self.rng = rng
        self.followed_id = None
        self._control_vms = {}

    @property
    def control_vm_ids(self):
        """Node ids of the known control VMs."""
        return list(self._control_vms)

    @property
    def has_majority(self):
        """Whether the followed control VM has a majority; None if none is."""
        followed = self._control_vms.get(self.followed_id)
        return None if followed is None else followed.has_majority

    def add(self, node_id, region="", failure_domain=""):
        """Add a control VM, or update its region and failure domain.

        :param node_id: id of the control VM.
        :param region: its region; empty if unknown.
        :param failure_domain: its failure domain; empty if unknown.
        """
        control_vm = self._control_vms.get(node_id)
        if control_vm is None:
            control_vm = _ControlVm(region, failure_domain, None, None, True)
        elif region:
            control_vm = control_vm._replace(
                region=region, failure_domain=failure_domain
            )
        self._control_vms[node_id] = control_vm

    def remove(self, node_id):
        """Remove a control VM that has left permanently.

        The last one is kept, as the entry VM could reach no other.

        :param node_id: id of the control VM.
        """
        if len(self._control_vms) > 1:
            self._control_vms.pop(node_id, None)

    def on_report_sent(self, node_id, now):
        """Record when a report was sent, unless one is unanswered yet.

        :param node_id: id of the control VM.
        :param now: monotonic time.
        """
        control_vm = self._control_vms.get(node_id)
        if control_vm is None:
            return
        is_waiting = control_vm.report_sent_at is not None and (
            control_vm.replied_at is None
            or control_vm.replied_at < control_vm.report_sent_at
        )
        if not is_waiting:
            self._control_vms[node_id] = control_vm._replace(
                report_sent_at=now
            )

    def on_reply(self, node_id, has_majority, now):
        """Record a reply to a report.

        :param node_id: id of the control VM.
        :param has_majority: whether it lately had all that a majority of the
            control group has committed.
        :param now: monotonic time.
        """
        self.add(node_id)
        self._control_vms[node_id] = self._control_vms[node_id]._replace(
            replied_at=now, has_majority=has_majority
        )

    def select_targets(self, now):
        """Choose the control VM to follow and those to report to.

        :param now: monotonic time.
        :returns: node ids; the first one is followed.  All of them in random
            order if none has replied of late.
        """
        responsive = [
            node_id
            for node_id, control_vm in self._control_vms.items()
            if self._is_responsive(control_vm, now)
        ]
        responsive.sort(key=self._preference)
        if responsive:
            self.followed_id = responsive[0]
            preferred = [
                n
                for n in responsive[1:]
                if self._preference(n) < self._preference(self.followed_id)
            ]
            probes = self._choose_probe(now)
            return [self.followed_id, *preferred, *probes]
        self.followed_id = None
        all_ids = list(self._control_vms)
        self.rng.shuffle(all_ids)
        return all_ids

    def _choose_probe(self, now):
        """Choose a silent control VM nearer than the followed one, if any.

        :returns: list of at most one node id.
        """
        candidates = [
            node_id
            for node_id, control_vm in self._control_vms.items()
            if not self._is_responsive(control_vm, now)
            and self._distance(control_vm)
            < self._distance(self._control_vms[self.followed_id])
        ]
        return [self.rng.choice(candidates)] if candidates else []

    def _is_responsive(self, control_vm, now):
        if control_vm.replied_at is None:
            return False
        report_sent_at = control_vm.report_sent_at
        if report_sent_at is None or control_vm.replied_at >= report_sent_at:
            return (
                now - control_vm.replied_at
                <= 3 * self.timing.control_silence_timeout
            )
        return now - report_sent_at <= self.timing.control_silence_timeout

    def _preference(self, node_id):
        control_vm = self._control_vms[node_id]
        is_change = node_id != self.followed_id
        return (
            not control_vm.has_majority,
            self._distance(control_vm),
            is_change,
            node_id,
        )

    def _distance(self, control_vm):
        if control_vm.failure_domain == self.failure_domain:
            return 0
        return 1 if control_vm.region == self.region else 2
