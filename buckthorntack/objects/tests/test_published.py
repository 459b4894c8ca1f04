import hashlib

import pytest

from buckthorntack import objects
from buckthorntack.objects.tests import sets


def published_set():
    return objects.PublishedSet(3, sets.sound_set())


def test_lookups_of_an_organisation():
    published = published_set()
    digest = hashlib.sha256(b"council")
    credential = published.credential(digest.hexdigest())
    assert credential["organisation"] == "council"
    assert published.credential(digest.digest()) == credential
    assert published.credential("00" * 32) is None
    assert published.organisation("council")["quota"] == "small"
    assert published.allowed_regions("council") == {"fukuoka"}
    assert published.allowed_regions("nobody") == frozenset()
    assert published.priority("council")["rank"] == 5
    assert published.quota("council")["burst_requests"] == 10
    assert published.models_for("council") == ["pitch", "pitch@1"]
    assert published.models_for("nobody") == []
    assert published.may_use("council", "desk")
    assert not published.may_use("council", "other")


def test_lookups_of_services():
    published = published_set()
    assert published.resolve_model("pitch") == ("writer", "pitch-1")
    assert published.resolve_model("pitch@1") == ("writer", "pitch-1")
    assert published.resolve_model("pitch@2") is None
    assert published.terms("writer")["share_away_weight"] == 0.5
    assert [pool["name"] for pool in published.pools_of("desk")] == ["desks"]
    assert published.pool("writers")["service"] == "writer"
    assert published.failure_domains("fukuoka") == {"fukuoka-a"}
    assert published.regions() == {"fukuoka", "kumamoto"}


@pytest.mark.parametrize(
    ("method", "path", "matched"),
    [
        ("POST", "/bookings", "/bookings"),
        ("GET", "/bookings", None),
        ("POST", "/bookings/1", None),
        ("GET", "/free/verge/7", "/free/*"),
        ("GET", "/free/", None),
        ("GET", "/free", None),
        ("GET", "/free/today", "/free/today"),
        ("GET", "/free/a%20b/", "/free/*"),
        ("GET", "/free/../bookings", None),
        ("GET", "/free//x", None),
        ("GET", "/free/./x", None),
        ("GET", "/free/..", None),
        ("GET", "/free/%2E%2e/bookings", None),
        ("GET", "/free/%252e%252e/bookings", None),
        ("GET", "/free/..%2fbookings", None),
        ("GET", "/free/a\\b", None),
        ("GET", "/free/%00", None),
        ("GET", "", None),
    ],
)
def test_match_call(method, path, matched):
    calls = [
        {"method": "POST", "path": "/bookings", "idempotent": False},
        {"method": "GET", "path": "/free/*", "idempotent": True},
        {"method": "GET", "path": "/free/today", "idempotent": True},
    ]
    named_objects = sets.with_fields("Service", "desk", calls=calls)
    published = objects.PublishedSet(1, named_objects)
    call = published.match_call("desk", method, path)
    assert (call and call["path"]) == matched
    assert published.match_call("writer", method, path) is None


def test_named_objects_are_what_was_put():
    kept = list(published_set().named_objects())
    assert sorted(kept, key=str) == sorted(sets.sound_set(), key=str)


def test_changes_leave_the_old_set_as_it_is():
    old = published_set()
    old.credential("00" * 32)
    document = dict(old.get("CallerCredential", "council-key"))
    put = [{"kind": "Region", "object": {"name": "kagoshima"}}]
    remove = [{"kind": "CallerCredential", "name": "council-key"}]
    new = old.with_changes(4, put, remove)
    assert (old.revision, new.revision) == (3, 4)
    assert new.regions() - old.regions() == {"kagoshima"}
    assert new.credential(document["token_sha256"]) is None
    assert old.credential(document["token_sha256"]) == document
    assert len(new) == len(old)
    kept = new.index.get("Organisation", "council")
    assert kept is old.index.get("Organisation", "council")
