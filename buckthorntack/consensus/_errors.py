"""Error kinds of replicated groups."""

from buckthorntack import errors


class ConsensusError(errors.GatewayError):
    """Base class of the errors of replicated groups."""

    number = 450
    status = 503
    kind = "consensus_error"
    remedy = "see the status of the group's replicas"


class NotLeaderError(ConsensusError):
    """This replica is not the leader and knows of none."""

    number = 451
    kind = "no_leader"
    remedy = "retry; if it persists, check that most voters are up"


class ProposalRefusedError(ConsensusError):
    """The leader did not append the proposal to the log."""

    number = 452
    kind = "proposal_refused"
    remedy = "retry after a moment"


class CommitUnknownError(ConsensusError):
    """It is unknown whether the proposal was or will be committed."""

    number = 453
    status = 504
    kind = "commit_unknown"
    remedy = "query the outcome, or resend the request under the same id"
    run_state = errors.RunState.UNKNOWN


class ReadTimeoutError(ConsensusError):
    """The leader did not confirm a read in time."""

    number = 454
    status = 504
    kind = "read_timeout"
    remedy = "retry; if it persists, check that most voters are up"


class ReplicaStoppedError(ConsensusError):
    """The replica is stopping or has failed."""

    number = 455
    kind = "replica_stopped"
    remedy = "use another replica; the log of this one has the cause"


class ChangeInProgressError(ConsensusError):
    """An earlier membership change is not committed yet."""

    number = 456
    status = 409
    kind = "member_change_in_progress"
    remedy = "retry after the earlier change is committed"


class MemberChangeError(ConsensusError):
    """The membership change doesn't fit the current members."""

    number = 457
    status = 409
    kind = "member_change_refused"
    remedy = "check the current members in the group's status"


class LearnerBehindError(ConsensusError):
    """The learner lacks too many of the leader's log entries."""

    number = 458
    status = 409
    kind = "learner_behind"
    remedy = "retry after the learner has caught up; see the group's status"


class RetiredNodeError(ConsensusError):
    """The node id belonged to a removed member and can't be reused."""

    number = 459
    status = 409
    kind = "node_id_retired"
    remedy = "start the VM with an empty folder under a new node id"


class QuorumAtRiskError(ConsensusError):
    """Removing the voter would leave the group without a live majority."""

    number = 460
    status = 409
    kind = "quorum_at_risk"
    remedy = "restart or add voters before removing this one"


class NoTransferTargetError(ConsensusError):
    """No other voter can take over the leadership."""

    number = 461
    kind = "no_transfer_target"
    remedy = "restart other voters, or stop without a leadership transfer"


class ReplicaDiskFullError(ConsensusError):
    """The disk of the replica has no room; nothing was begun."""

    number = 462
    kind = "replica_disk_full"
    remedy = "use another replica, and free space on the disk of this one"
