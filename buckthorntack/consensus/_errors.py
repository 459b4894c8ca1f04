"""Error kinds of replicated groups."""

from buckthorntack import errors


class ConsensusError(errors.GatewayError):
    """Base of the errors of replicated groups."""

    number = 450
    status = 503
    kind = "consensus_error"
    remedy = "see the status of the group's replicas"


class NotLeaderError(ConsensusError):
    """This replica does not lead and knows no leader to ask."""

    number = 451
    kind = "no_leader"
    remedy = "retry; if it lasts, look for a lost majority of the voters"


class ProposalRefusedError(ConsensusError):
    """The leader did not add the proposal to the log."""

    number = 452
    kind = "proposal_refused"
    remedy = "retry after a moment"


class CommitUnknownError(ConsensusError):
    """It is not known whether the proposal was or will be committed."""

    number = 453
    status = 504
    kind = "commit_unknown"
    remedy = "ask for the outcome, or resend under the same id"
    run_state = errors.RunState.UNKNOWN


class ReadTimeoutError(ConsensusError):
    """The leader could not confirm a read in time."""

    number = 454
    status = 504
    kind = "read_timeout"
    remedy = "retry; if it lasts, look for a lost majority of the voters"


class ReplicaStoppedError(ConsensusError):
    """The replica stops or has failed."""

    number = 455
    kind = "replica_stopped"
    remedy = "ask another replica; see this one's log for why it stopped"


class ChangeInProgressError(ConsensusError):
    """Members are changed one at a time."""

    number = 456
    status = 409
    kind = "member_change_in_progress"
    remedy = "retry when the earlier change is committed"


class MemberChangeError(ConsensusError):
    """The change of members is not possible."""

    number = 457
    status = 409
    kind = "member_change_refused"
    remedy = "compare the change with the members in the group's status"


class LearnerBehindError(ConsensusError):
    """The learner does not yet have the leader's log."""

    number = 458
    status = 409
    kind = "learner_behind"
    remedy = "retry when the learner has caught up; see the group's status"


class RetiredNodeError(ConsensusError):
    """The node id was a member before and may not return."""

    number = 459
    status = 409
    kind = "node_id_retired"
    remedy = "start the VM with an empty folder under a new node id"


class QuorumAtRiskError(ConsensusError):
    """Without the member the others would have no majority."""

    number = 460
    status = 409
    kind = "quorum_at_risk"
    remedy = "bring back or add voters before removing this one"


class NoTransferTargetError(ConsensusError):
    """No other voter can take over."""

    number = 461
    kind = "no_transfer_target"
    remedy = "bring back other voters, or stop without a transfer"
