"""Settings of a node, in the form of deploy/settings.json."""

import datetime

import json5
import msgspec

from buckthorntack import admission
from buckthorntack import gateway
from buckthorntack.schema import documents

#: Name of the environment variable with the path of the settings file.
PATH_VARIABLE = "BUCKTHORNTACK_NODE_FILE"
#: Errors of a file that is missing, of another form or out of range.
_READ_ERRORS = (
    OSError,
    ValueError,
    ArithmeticError,
    LookupError,
    RecursionError,
    msgspec.ValidationError,
)


def load_settings(path):
    """Read the settings file.

    :param path: its path.
    :returns: ``gateway.NodeSettings``.
    :raises gateway.SettingsError: it can't be read or is of another form.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = json5.load(file)
        checked = msgspec.convert(document, documents.NodeDocument)
        return _settings(checked)
    except _READ_ERRORS as error:
        raise gateway.SettingsError(f"{path}: {error!r}") from None


def _settings(document):
    if not document["internal_ports"]:
        raise ValueError("internal_ports is empty")
    first_port = document["internal_ports"][0]
    return gateway.NodeSettings(
        role=document["role"],
        node_name=document["node_name"],
        region=document["region"],
        failure_domain=document["failure_domain"],
        regions=document["regions"],
        ip_address=document["ip_address"],
        service_address=document["service_address"],
        readiness_address=document["readiness_address"],
        directory_address=document["directory_address"],
        link_port=first_port,
        forward_port=first_port + 1,
        metrics_port=document["metrics_port"],
        seeds=tuple(document["seeds"]),
        is_first_start=document["first_start"],
        data_folder=document["data_folder"],
        announcement_period=datetime.timedelta(
            milliseconds=document["announcement_ms"]
        ),
        tolerated_losses=document["tolerated_losses"],
        repeat_ratio=document["repeat_ratio"],
        repeat_slack=document["repeat_slack"],
        directory_ttl=datetime.timedelta(seconds=document["directory_ttl_s"]),
        stop_grace=datetime.timedelta(seconds=document["grace_s"]),
        listen_ip=document.get("listen_ip", ""),
        quota_tolerance=_quota_tolerance(document),
        processor_cores=document.get("processor_share", 0.0)
        * document.get("processor_speed", 1.0),
        link_mbps=document.get("link_mbps", 0.0),
        memory_mb=document.get("memory_mb", 0.0),
        hedge_share=document.get("hedge_share", 0.0),
    )


def _quota_tolerance(document):
    """What may be admitted beyond quotas; nothing where none is stated."""
    stated = {
        name: document[f"quota_{name}"]
        for name in admission.QuotaTolerance._fields
        if f"quota_{name}" in document
    }
    return admission.QuotaTolerance(**stated)
