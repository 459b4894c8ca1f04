"""Raft consensus: leader election, log replication, membership changes."""

from buckthorntack.consensus._errors import ChangeInProgressError
from buckthorntack.consensus._errors import CommitUnknownError
from buckthorntack.consensus._errors import ConsensusError
from buckthorntack.consensus._errors import LearnerBehindError
from buckthorntack.consensus._errors import MemberChangeError
from buckthorntack.consensus._errors import NotLeaderError
from buckthorntack.consensus._errors import NoTransferTargetError
from buckthorntack.consensus._errors import ProposalRefusedError
from buckthorntack.consensus._errors import QuorumAtRiskError
from buckthorntack.consensus._errors import ReadTimeoutError
from buckthorntack.consensus._errors import ReplicaStoppedError
from buckthorntack.consensus._errors import RetiredNodeError
from buckthorntack.consensus._replica import MESSAGE_TYPES
from buckthorntack.consensus._replica import Replica
from buckthorntack.consensus._status import PeerStatus
from buckthorntack.consensus._status import ReplicaStatus
from buckthorntack.consensus._task import ReplicaTask
from buckthorntack.consensus._timing import Timing

__all__ = [
    "MESSAGE_TYPES",
    "ChangeInProgressError",
    "CommitUnknownError",
    "ConsensusError",
    "LearnerBehindError",
    "MemberChangeError",
    "NoTransferTargetError",
    "NotLeaderError",
    "PeerStatus",
    "ProposalRefusedError",
    "QuorumAtRiskError",
    "ReadTimeoutError",
    "Replica",
    "ReplicaStatus",
    "ReplicaStoppedError",
    "ReplicaTask",
    "RetiredNodeError",
    "Timing",
]
