"""Organisation of a request, from its key or from another entry VM."""

from typing import NamedTuple
import urllib.parse

from expression import Error
from expression import Ok

from buckthorntack import directives
from buckthorntack import http1
from buckthorntack.gateway import _errors

#: Header with the organisation of a request that an entry VM forwards; empty
#: for a caller without a key.  The key is not forwarded.
ORGANISATION_HEADER = b"x-gateway-organisation"


class Caller(NamedTuple):
    """Who sent a request, where callers must present keys."""

    #: None for a caller without a key, on an anonymous route.
    organisation: directives.Organisation | None


def authorise(table, route, api_key):
    """Find the caller of a request by the key that it presents.

    :param table: the ``directives.RouteTable``.
    :param route: the ``directives.Route``.
    :param api_key: the key; None without one.
    :returns: ``Result`` of a :class:`Caller`, which is None if the
        configuration has no organisations, or of an ``UnknownKeyError``.
    """
    if not table.has_organisations:
        return Ok(None)
    organisation = None
    if api_key is not None:
        organisation = table.find_key_owner(api_key)
    if organisation is None and not route.is_anonymous:
        return Error(_errors.UnknownKeyError("no organisation has this key"))
    return Ok(Caller(organisation))


def find_forwarded_caller(table, route, headers):
    """Find the caller of a request that another entry VM has authorised.

    :param table: the ``directives.RouteTable``.
    :param route: the ``directives.Route``.
    :param headers: list of name and value pairs.
    :returns: ``Result`` of a :class:`Caller`, or of an
        ``UnknownOrganisationError``; None if the other entry VM does not name
        an organisation, so that the request has to be authorised here.
    """
    name = _read_organisation_name(headers)
    if name is None:
        return None
    if not name:
        if table.has_organisations and not route.is_anonymous:
            # The sender has an older or newer configuration.
            return Error(
                _errors.UnknownOrganisationError("the route needs a key here")
            )
        return Ok(Caller(None))
    organisation = table.find_organisation(name)
    if organisation is None:
        return Error(
            _errors.UnknownOrganisationError(f"organisation {name} here")
        )
    return Ok(Caller(organisation))


def find_forwarded_organisation(table, headers):
    """Find the organisation that another entry VM names, on any route.

    :param table: the ``directives.RouteTable``.
    :param headers: list of name and value pairs.
    :returns: the ``directives.Organisation``; None if the other entry VM
        names none, or one that is not known here.
    """
    name = _read_organisation_name(headers)
    return table.find_organisation(name) if name else None


def _read_organisation_name(headers):
    """Return the name from another entry VM; None if it gives none."""
    value = http1.find_header(headers, ORGANISATION_HEADER)
    if value is None:
        return None
    return urllib.parse.unquote(value.decode("latin-1"))


def write_headers(caller):
    """Return the headers that tell an entry VM the organisation of a request.

    :param caller: the :class:`Caller`; None if callers need no keys.
    :returns: list of name and value pairs.

    >>> write_headers(Caller(None))
    [(b'x-gateway-organisation', b'')]
    """
    if caller is None:
        return []
    name = caller.organisation.name if caller.organisation else ""
    return [(ORGANISATION_HEADER, urllib.parse.quote(name).encode())]
