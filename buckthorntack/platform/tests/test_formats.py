"""Formats of the platform, read and written."""

import datetime
import json
import math
import pathlib
import re

from expression import Ok
import pytest

from buckthorntack import admission
from buckthorntack import directives
from buckthorntack import gateway
from buckthorntack import http1
from buckthorntack.directives import RequestKind
from buckthorntack.platform import _announcements
from buckthorntack.platform import _configuration
from buckthorntack.platform import _dialect
from buckthorntack.platform import _settings
from buckthorntack.platform.tests import _standins

#: Time of day, since 1970.
NOW = datetime.timedelta(days=20_000)
TEMPLATE = pathlib.Path("deploy/settings.json")
NAMED = {
    "node_name": "edge-1",
    "region": "north",
    "zone": "a1",
    "zones": {"a1": "north"},
    "ip": "10.0.0.1",
    "listen.frontend": "10.0.0.1:8144",
    "listen.readiness": "10.0.0.1:8140",
    "listen.registry": "10.0.0.1:8143",
    "internal_port_range": [7660, 7675],
    "seeds": ["10.0.0.9:8146"],
    "bootstrap": True,
    "heartbeat_ms": 1200,
    "fault_tolerance.machines": 1,
    "bounds.retry_ratio": 0.2,
    "bounds.retry_slack": 56,
    "bounds.ttl_max_s": 5,
    "bounds.grace_s": 8,
    "limits.cpu_share": 0.5,
    "limits.cpu_cores": 2,
    "limits.link_mbps": 5.0,
}


def fill(template, values):
    """What the platform makes of the template, as far as it uses it."""

    def fill_section(match):
        mark, name, inner = match.groups()
        return inner if (name in values) == (mark == "#") else ""

    section = r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}"
    text = re.sub(section, fill_section, template)
    for name, value in values.items():
        text = text.replace(f"{{{{{name}|json}}}}", json.dumps(value))
        text = text.replace(f"{{{{{name}}}}}", str(value))
    while "{{" in text:
        before, _, rest = text.partition("{{")
        text = before + rest.partition("}}")[2]
    return text


def load(tmp_path, text):
    path = tmp_path / "settings"
    path.write_text(text)
    return _settings.load_settings(str(path))


def test_settings_of_an_entry_vm(tmp_path):
    settings = load(tmp_path, fill(TEMPLATE.read_text(), NAMED))
    assert settings.role == "entry"
    assert settings.service_address == "10.0.0.1:8144"
    assert settings.link_address == "10.0.0.1:7660"
    assert settings.forward_address == "10.0.0.1:7661"
    assert settings.data_folder == ""
    assert settings.stop_grace.total_seconds() == 8
    assert settings.processor_cores == 1.0
    assert settings.link_mbps == 5.0


# Guards against a template that is no document where quotas are missing.
def test_tolerance_of_quotas_is_optional(tmp_path):
    template = TEMPLATE.read_text()
    settings = load(tmp_path, fill(template, NAMED))
    assert settings.quota_tolerance == admission.QuotaTolerance()
    stated = {"window_s": 4, "overrun": 0.1, "slack": 190_000}
    bounds = {f"bounds.quota_{name}": n for name, n in stated.items()}
    settings = load(tmp_path, fill(template, NAMED | bounds))
    assert settings.quota_tolerance == admission.QuotaTolerance(**stated)


# Guards against a template that is no document where memory is not limited.
def test_memory_of_the_vm_is_optional(tmp_path):
    template = TEMPLATE.read_text()
    assert load(tmp_path, fill(template, NAMED)).memory_mb == 0
    limits = {"limits.memory_mb": 200}
    assert load(tmp_path, fill(template, NAMED | limits)).memory_mb == 200


def test_settings_of_a_control_vm(tmp_path):
    values = {
        name: value
        for name, value in NAMED.items()
        if not name.startswith("listen.")
    }
    values["listen.control_plane"] = "10.0.0.1:8146"
    values["data_dir"] = "/data/x"
    settings = load(tmp_path, fill(TEMPLATE.read_text(), values))
    assert settings.role == "control"
    assert settings.service_address == "10.0.0.1:8146"
    assert settings.data_folder == "/data/x"
    assert settings.is_first_start


@pytest.mark.parametrize(
    "text", ["", "{", "[]", "{}", '{"role": "other"}', "\xff"]
)
def test_settings_that_cannot_be_used_are_refused(tmp_path, text):
    with pytest.raises(gateway.SettingsError):
        load(tmp_path, text)


# Guards against a node that ends, or follows its settings no more, as a field
# of the file is out of range.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("bounds.grace_s", 1e300),
        ("bounds.grace_s", math.nan),
        ("heartbeat_ms", 10**30),
        ("internal_port_range", []),
    ],
)
def test_settings_out_of_range_are_refused(tmp_path, name, value):
    with pytest.raises(gateway.SettingsError):
        load(tmp_path, fill(TEMPLATE.read_text(), NAMED | {name: value}))


def test_settings_that_are_deeply_nested_are_refused(tmp_path):
    with pytest.raises(gateway.SettingsError):
        load(tmp_path, "[" * 100_000)


def test_settings_that_are_missing_are_refused():
    with pytest.raises(gateway.SettingsError):
        _settings.load_settings("/nowhere/settings")


def test_configuration_is_read_into_named_fields():
    document = _standins.configuration(
        3,
        [
            _standins.route(
                "r",
                None,
                type="streaming",
                resumable=True,
                backends=[
                    {"service": "text", "weight": 90},
                    {"service": "desk", "weight": 10},
                ],
                itl_target_ms=300,
                allowed_regions=["north"],
            )
        ],
    )
    read = _configuration.parse_configuration(json.dumps(document).encode())
    [route] = read.ok.routes
    assert route.kind is RequestKind.STREAM
    assert [split.weight for split in route.splits] == [90.0, 10.0]
    assert route.pause_objective.total_seconds() == 0.3
    assert route.allowed_regions == frozenset(["north"])
    assert read.ok.services["text"].engine.token_bytes == 35136
    assert read.ok.services["desk"].engine is None


def test_unknown_kind_is_treated_as_one_that_runs_once():
    routes = [_standins.route("r", "desk", type="keyed")]
    content = json.dumps(_standins.configuration(1, routes)).encode()
    [route] = _configuration.parse_configuration(content).ok.routes
    assert not route.is_idempotent


def test_prompt_is_read():
    headers = [
        (b"Host", b"h"),
        (b"X-Buckthorntack-Request-Id", b"1"),
        (b"X-Buckthorntack-Token-Count", b"1460,80"),
        (b"X-Buckthorntack-Prompt-Prefix", b"5c:800, 91:410,e4:250"),
    ]
    request = http1.Request(b"POST", b"/a/b?c", headers, b"", 0.0)
    metadata = _dialect.PlatformDialect().parse_request(request).ok
    assert metadata.path == "/a/b"
    assert (metadata.prompt.tokens, metadata.prompt.output_tokens) == (
        1460,
        80,
    )
    assert metadata.prompt.parts[1] == ("91", 410)
    assert metadata.prompt.shared_key == "5c/91"


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"X-Buckthorntack-Token-Count", b"many"),
        (b"X-Buckthorntack-Prompt-Prefix", b"x:y"),
        (b"X-Buckthorntack-Prompt-Prefix", b"x:-5"),
        (b"X-Buckthorntack-Deadline-Ms", b"soon"),
        (b"Last-Event-Id", b"x"),
    ],
)
def test_unreadable_fields_count_as_none(name, value):
    headers = [
        (b"Host", b"h"),
        (b"X-Buckthorntack-Request-Id", b"1"),
        (b"X-Buckthorntack-Token-Count", b"1,1"),
    ]
    headers = [pair for pair in headers if pair[0] != name]
    headers.append((name, value))
    request = http1.Request(b"POST", b"/", headers, b"", 0.0)
    metadata = _dialect.PlatformDialect().parse_request(request).ok
    assert metadata.prompt is None or metadata.timeout_ms is None


# Guards against a malformed prefix that hides the size of a prompt from the
# quota, and against parts of negative size.
@pytest.mark.parametrize("prefix", [b"x:y", b"5c:-800,91:410", b"5c", b"5c:"])
def test_prompt_with_unreadable_parts_keeps_its_counts(prefix):
    headers = [
        (b"Host", b"h"),
        (b"X-Buckthorntack-Request-Id", b"1"),
        (b"X-Buckthorntack-Token-Count", b"1460,80"),
        (b"X-Buckthorntack-Prompt-Prefix", prefix),
    ]
    request = http1.Request(b"POST", b"/", headers, b"", 0.0)
    metadata = _dialect.PlatformDialect().parse_request(request).ok
    assert metadata.prompt == ((), 1460, 80)


@pytest.mark.parametrize("missing", [b"Host", b"X-Buckthorntack-Request-Id"])
def test_request_without_host_or_id_is_refused(missing):
    headers = [(b"Host", b"h"), (b"X-Buckthorntack-Request-Id", b"1")]
    headers = [pair for pair in headers if pair[0] != missing]
    request = http1.Request(b"GET", b"/", headers, b"", 0.0)
    assert _dialect.PlatformDialect().parse_request(request).is_error()


def test_reclaim_notice_is_read():
    content = json.dumps(
        {
            "service": "text",
            "address": "10.0.0.1:80",
            "zone": "a1",
            "version": "v1",
            "capacity": 4,
            "state": "draining",
            "sequence": 3,
            "born": 1700000000000,
            "remaining_ms": 1500.5,
            "unknown": [],
        }
    ).encode()
    read = _announcements.read_announcement("s", content, {"a1": "north"}, NOW)
    assert isinstance(read, type(Ok(None)))
    assert read.ok.reclaim_left_ms == 1500
    assert read.ok.region == "north"


@pytest.mark.parametrize(
    "content", [b"", b"{}", b'{"born": 5}', b"\xff", b"["]
)
def test_last_word_of_a_server_may_say_little(content):
    read = _announcements.read_leave(content)
    assert read.is_error() == (content in (b"\xff", b"["))
    assert read.default_value(None) == (5 if b"born" in content else None)


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, b"1.5", 1.5),
        (503, b"0", None),
        (503, b"-1", None),
        (503, b"nan", None),
        (503, b"inf", None),
        (503, b"Fri, 04 Dec 2026 08:00:00 GMT", None),
        (503, None, None),
        (200, b"1.5", None),
    ],
)
def test_pause_that_a_server_asks_for(status, value, pause_s):
    headers = [] if value is None else [(b"Retry-After", value)]
    head = http1.ResponseHead(
        status, b"", headers, 0, http1.BodyFraming.LENGTH
    )
    dialect = _dialect.PlatformDialect()
    assert dialect.parse_response(head).pause_s == pause_s


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"1.1", gateway.StatedRate(1.1)),
        (b"0", gateway.StatedRate(0.0)),
        (b" 3 ", gateway.StatedRate(3.0)),
        (None, gateway.NO_LIMIT),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"many", None),
        (b"", None),
    ],
)
def test_limit_that_a_server_names(value, limit):
    headers = [] if value is None else [(b"Server-Limit", value)]
    head = http1.ResponseHead(200, b"", headers, 0, http1.BodyFraming.LENGTH)
    dialect = _dialect.PlatformDialect()
    assert dialect.parse_response(head).limit == limit


def test_organisations_are_read():
    document = _standins.configuration(
        1, [_standins.route("r", "desk", anonymous=True)]
    )
    document["tenants"] = [
        {
            "name": "huka",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "unit": "tokens",
            "uncached_tokens": 200,
            "rate_per_s": 5000,
            "burst": 6000,
            "allowed_regions": ["north"],
        },
        {"name": "free", "api_keys": [], "rate_per_s": 0},
    ]
    content = json.dumps(document).encode()
    read = _configuration.parse_configuration(content).ok
    huka, free = read.organisations
    assert read.routes[0].is_anonymous
    assert huka.api_keys == {"k1", "k2"}
    assert huka.priority == 1
    assert huka.quota == (directives.QuotaUnit.TOKENS, 5000.0, 6000.0, 200.0)
    assert huka.allowed_regions == {"north"}
    assert free.quota is None


@pytest.mark.parametrize(
    ("value", "api_key"),
    [
        (b"Token abc", "abc"),
        (b"token  abc ", "abc"),
        (b"Bearer abc", None),
        (b"Token", None),
        (b"", None),
    ],
)
def test_key_is_read(value, api_key):
    headers = [
        (b"Host", b"h"),
        (b"X-Buckthorntack-Request-Id", b"1"),
        (b"Authorization", value),
    ]
    request = http1.Request(b"POST", b"/a/b", headers, b"", 0.0)
    metadata = _dialect.PlatformDialect().parse_request(request).ok
    assert metadata.api_key == api_key


def test_server_gets_the_organisation_and_not_the_key():
    headers = [
        (b"Authorization", b"Token abc"),
        (b"X-Buckthorntack-Tenant", b"forged"),
    ]
    request = http1.Request(b"POST", b"/a/b", headers, b"", 0.0)
    organisation = directives.Organisation("huka", frozenset(["abc"]))
    sent = dict(
        _dialect.PlatformDialect().build_server_headers(
            request, "s1", 5.0, None, "", gateway.Caller(organisation)
        )
    )
    assert sent[b"x-buckthorntack-tenant"] == b"huka"
    assert b"Authorization" not in sent
    assert b"X-Buckthorntack-Tenant" not in sent


def test_anonymous_caller_names_no_organisation_to_the_server():
    headers = [
        (b"Authorization", b"Token abc"),
        (b"X-Buckthorntack-Tenant", b"forged"),
    ]
    request = http1.Request(b"POST", b"/a/b", headers, b"", 0.0)
    sent = dict(
        _dialect.PlatformDialect().build_server_headers(
            request, "s1", 5.0, None, "", gateway.Caller(None)
        )
    )
    assert set(sent) == {
        b"x-buckthorntack-deadline-ms",
        b"x-buckthorntack-expect-instance",
    }


@pytest.mark.parametrize(
    ("value", "cold_left_s"),
    [
        (b"2900", 2.9),
        (b"0", 0.0),
        (b"nan", None),
        (b"-1", None),
        (b"inf", None),
        (b"", None),
    ],
)
def test_warm_up_that_a_health_path_names(value, cold_left_s):
    headers = [
        (b"X-Buckthorntack-Instance-Id", b"s1"),
        (b"X-Buckthorntack-Warmup-Ms", value),
    ]
    head = http1.ResponseHead(200, b"", headers, 0, http1.BodyFraming.LENGTH)
    dialect = _dialect.PlatformDialect()
    assert dialect.parse_health(head, "s1") == cold_left_s


# Guards against sound servers that get the rate of a cold one for a warm-up,
# as their answers name none once it is over.
@pytest.mark.parametrize(
    ("status", "server_id", "cold_left_s"),
    [(200, b"s1", 0.0), (200, b"s2", None), (503, b"s1", None)],
)
def test_health_path_of_a_warm_server_names_no_warm_up(
    status, server_id, cold_left_s
):
    headers = [(b"X-Buckthorntack-Instance-Id", server_id)]
    head = http1.ResponseHead(
        status, b"", headers, 0, http1.BodyFraming.LENGTH
    )
    dialect = _dialect.PlatformDialect()
    assert dialect.parse_health(head, "s1") == cold_left_s


@pytest.mark.parametrize(
    ("body", "born_ms"),
    [
        (b'{"phase":"both","born":1786149753265,"runs":[]}', 1786149753265),
        (b'{"phase":"both"}', None),
        (b'{"born":"1"}', None),
        (b'{"born":-1}', None),
        (b"[]", None),
        (b"", None),
    ],
)
def test_start_that_a_server_tells(body, born_ms):
    assert _dialect.PlatformDialect().parse_start(body) == born_ms
