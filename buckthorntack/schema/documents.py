"""JSON documents met from outside; generated, do not edit."""

from buckthorntack.schema._generated.admin_documents import AdminError
from buckthorntack.schema._generated.admin_documents import AdminErrorAnswer
from buckthorntack.schema._generated.admin_documents import AdminInterface
from buckthorntack.schema._generated.admin_documents import Change
from buckthorntack.schema._generated.admin_documents import ChangeRecord
from buckthorntack.schema._generated.admin_documents import ChangeRegionStatus
from buckthorntack.schema._generated.admin_documents import ChangeResult
from buckthorntack.schema._generated.admin_documents import ChangeStatus
from buckthorntack.schema._generated.admin_documents import Finding
from buckthorntack.schema._generated.admin_documents import History
from buckthorntack.schema._generated.admin_documents import NamedObject
from buckthorntack.schema._generated.admin_documents import ObjectList
from buckthorntack.schema._generated.admin_documents import ObjectName
from buckthorntack.schema._generated.admin_documents import RegionStatus
from buckthorntack.schema._generated.admin_documents import ReplicaAddition
from buckthorntack.schema._generated.admin_documents import ReplicaList
from buckthorntack.schema._generated.admin_documents import ReplicaStatus
from buckthorntack.schema._generated.admin_documents import Status
from buckthorntack.schema._generated.backend_documents import Announcement
from buckthorntack.schema._generated.backend_documents import (
    AnnouncementAnswer,
)
from buckthorntack.schema._generated.backend_documents import BackendInterface
from buckthorntack.schema._generated.backend_documents import CacheEvent
from buckthorntack.schema._generated.backend_documents import EngineOrder
from buckthorntack.schema._generated.backend_documents import EngineOrderAnswer
from buckthorntack.schema._generated.backend_documents import LoadReport
from buckthorntack.schema._generated.backend_documents import Outcome
from buckthorntack.schema._generated.bench_documents import FaultSchedule
from buckthorntack.schema._generated.bench_documents import FaultSchedules
from buckthorntack.schema._generated.bench_documents import FaultStep
from buckthorntack.schema._generated.keys_documents import KeyFiles
from buckthorntack.schema._generated.keys_documents import LinkKeyFile
from buckthorntack.schema._generated.keys_documents import LinkKeyPair
from buckthorntack.schema._generated.keys_documents import OperatorToken
from buckthorntack.schema._generated.keys_documents import OperatorTokenFile
from buckthorntack.schema._generated.keys_documents import TokenKeyFile
from buckthorntack.schema._generated.node_documents import NodeDocument
from buckthorntack.schema._generated.node_documents import NodeDocuments
from buckthorntack.schema._generated.objects_documents import BackendServerPool
from buckthorntack.schema._generated.objects_documents import CallerCredential
from buckthorntack.schema._generated.objects_documents import DeploymentTerms
from buckthorntack.schema._generated.objects_documents import FailureDomain
from buckthorntack.schema._generated.objects_documents import ModelVersion
from buckthorntack.schema._generated.objects_documents import Objects
from buckthorntack.schema._generated.objects_documents import Organisation
from buckthorntack.schema._generated.objects_documents import Priority
from buckthorntack.schema._generated.objects_documents import Quota
from buckthorntack.schema._generated.objects_documents import Region
from buckthorntack.schema._generated.objects_documents import ResidencyRule
from buckthorntack.schema._generated.objects_documents import Service
from buckthorntack.schema._generated.objects_documents import ServiceCall
from buckthorntack.schema._generated.settings_documents import HttpSettings
from buckthorntack.schema._generated.settings_documents import KeySettings
from buckthorntack.schema._generated.settings_documents import LedgerHome
from buckthorntack.schema._generated.settings_documents import LimitSettings
from buckthorntack.schema._generated.settings_documents import LinkSettings
from buckthorntack.schema._generated.settings_documents import LogSettings
from buckthorntack.schema._generated.settings_documents import NodeAddress
from buckthorntack.schema._generated.settings_documents import Settings
from buckthorntack.schema._generated.settings_documents import SettingsFile
from buckthorntack.schema._generated.settings_documents import TimingSettings
from buckthorntack.schema._generated.settings_documents import (
    WeightStoreSettings,
)

__all__ = [
    "AdminError",
    "AdminErrorAnswer",
    "AdminInterface",
    "Announcement",
    "AnnouncementAnswer",
    "BackendInterface",
    "BackendServerPool",
    "CacheEvent",
    "CallerCredential",
    "Change",
    "ChangeRecord",
    "ChangeRegionStatus",
    "ChangeResult",
    "ChangeStatus",
    "DeploymentTerms",
    "EngineOrder",
    "EngineOrderAnswer",
    "FailureDomain",
    "FaultSchedule",
    "FaultSchedules",
    "FaultStep",
    "Finding",
    "History",
    "HttpSettings",
    "KeyFiles",
    "KeySettings",
    "LedgerHome",
    "LimitSettings",
    "LinkKeyFile",
    "LinkKeyPair",
    "LinkSettings",
    "LoadReport",
    "LogSettings",
    "ModelVersion",
    "NamedObject",
    "NodeAddress",
    "NodeDocument",
    "NodeDocuments",
    "ObjectList",
    "ObjectName",
    "Objects",
    "OperatorToken",
    "OperatorTokenFile",
    "Organisation",
    "Outcome",
    "Priority",
    "Quota",
    "Region",
    "RegionStatus",
    "ReplicaAddition",
    "ReplicaList",
    "ReplicaStatus",
    "ResidencyRule",
    "Service",
    "ServiceCall",
    "Settings",
    "SettingsFile",
    "Status",
    "TimingSettings",
    "TokenKeyFile",
    "WeightStoreSettings",
]
