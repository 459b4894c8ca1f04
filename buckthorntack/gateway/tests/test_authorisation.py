"""Organisation of a request, by key and as another entry VM names it."""

import pytest

from buckthorntack import directives
from buckthorntack.directives.tests import _documents
from buckthorntack.gateway import _authorisation
from buckthorntack.gateway import _dialect
from buckthorntack.gateway import _errors

KEY = "k-long-and-secret"


def table(*organisations):
    configuration = _documents.configuration()
    return directives.RouteTable(
        configuration._replace(organisations=organisations)
    )


def organisation(name="depot", *keys, **fields):
    return directives.Organisation(name, frozenset(keys or (KEY,)), **fields)


def test_no_key_is_needed_without_organisations():
    result = _authorisation.authorise(table(), _documents.route(), None)
    assert result.ok is None


def test_owner_of_the_key_is_the_caller():
    depot = organisation()
    known = table(depot, organisation("other", "k2"))
    result = _authorisation.authorise(known, _documents.route(), KEY)
    assert result.ok.organisation is depot


@pytest.mark.parametrize("api_key", [None, "", "K-LONG-AND-SECRET", "k"])
def test_unknown_key_is_refused(api_key):
    result = _authorisation.authorise(
        table(organisation()), _documents.route(), api_key
    )
    assert result.error.status == 401


@pytest.mark.parametrize("api_key", [None, "unknown"])
def test_anonymous_route_needs_no_key(api_key):
    route = _documents.route(is_anonymous=True)
    result = _authorisation.authorise(table(organisation()), route, api_key)
    assert result.ok == _authorisation.Caller(None)


@pytest.mark.parametrize("name", ["depot", "a b", "Dépôt/1"])
def test_organisation_survives_a_hop(name):
    depot = organisation(name)
    headers = _authorisation.write_headers(_authorisation.Caller(depot))
    result = _authorisation.find_forwarded_caller(
        table(depot), _documents.route(), headers
    )
    assert result.ok.organisation is depot


def test_anonymous_caller_survives_a_hop():
    headers = _authorisation.write_headers(_authorisation.Caller(None))
    route = _documents.route(is_anonymous=True)
    result = _authorisation.find_forwarded_caller(
        table(organisation()), route, headers
    )
    assert result.ok == _authorisation.Caller(None)


# Guards against a caller without a key on a route that needs one by now.
def test_anonymous_caller_is_not_run_where_the_route_needs_a_key():
    headers = _authorisation.write_headers(_authorisation.Caller(None))
    result = _authorisation.find_forwarded_caller(
        table(organisation()), _documents.route(), headers
    )
    assert isinstance(result.error, _errors.UnknownOrganisationError)
    result = _authorisation.find_forwarded_caller(
        table(), _documents.route(), headers
    )
    assert result.ok == _authorisation.Caller(None)


# An entry VM that is ahead forwards for an organisation not known here yet.
def test_organisation_of_a_newer_configuration_is_not_run():
    headers = _authorisation.write_headers(
        _authorisation.Caller(organisation("new"))
    )
    result = _authorisation.find_forwarded_caller(
        table(organisation()), _documents.route(), headers
    )
    assert isinstance(result.error, _errors.UnknownOrganisationError)
    assert result.error.status == 503


@pytest.mark.parametrize("name", ["depot", "new", None])
def test_owner_of_a_forwarded_body_is_the_organisation_known_here(name):
    depot = organisation()
    caller = _authorisation.Caller(organisation(name) if name else None)
    found = _authorisation.find_forwarded_organisation(
        table(depot), _authorisation.write_headers(caller)
    )
    assert found is (depot if name == "depot" else None)


def test_entry_vm_that_names_none_leaves_it_to_the_key():
    found = _authorisation.find_forwarded_caller(
        table(organisation()), _documents.route(), []
    )
    assert found is None


# Log lines are built from the text of values.
def test_keys_do_not_appear_in_text():
    metadata = _dialect.RequestMetadata(
        "h", "/a/", b"1", None, None, None, api_key=KEY
    )
    for value in (organisation(), metadata):
        assert KEY not in f"{value} {value!r}"
