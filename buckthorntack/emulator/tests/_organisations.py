"""Requests of organisations of several ranks, for tests of load."""

from buckthorntack import directives
from buckthorntack import emulator
from buckthorntack.directives.tests import _documents

#: Quota of an organisation, in multiples of its usual tokens.
QUOTA_TIMES = 1.8
#: Engines of the region.
ENGINES = 5
#: Entry VMs of the region.
ENTRIES = 8


def split(kinds, parts):
    """Split kinds of requests among organisations.

    :param kinds: list of ``emulator.Kind``.
    :param parts: by name of the organisation, its priority, its usual part of
        the requests, and the factor at which it sends.
    """
    tokens_per_s = sum(
        sum(kind.per_s.values())
        * (sum(mean for mean, _ in kind.parts) + kind.own_tokens)
        for kind in kinds
    )
    made = []
    for name, (priority, part, times) in parts.items():
        rate = tokens_per_s * part * QUOTA_TIMES
        organisation = directives.Organisation(
            name,
            frozenset((name,)),
            priority,
            directives.Quota(directives.QuotaUnit.TOKENS, rate, rate),
        )
        for kind in kinds:
            per_s = {
                region: rate * part * times
                for region, rate in kind.per_s.items()
            }
            made.append(kind._replace(per_s=per_s, organisation=organisation))
    return made


def configure(kinds):
    """Return the configuration that ranks kinds of requests."""
    routes = {kind.route.name: kind.route for kind in kinds}
    organisations = {
        kind.organisation.name: kind.organisation for kind in kinds
    }
    return _documents.configuration(*routes.values())._replace(
        organisations=tuple(organisations.values())
    )


def deploy(make=emulator.Deployment):
    """Make one region of engines and entry VMs."""
    return make([emulator.Region("north", ENGINES, ENTRIES)])


def served(results, **fields):
    """Share answered among the results with these fields."""
    own = [
        result
        for result in results
        if all(getattr(result, name) == fields[name] for name in fields)
    ]
    assert len(own) > 20, fields
    return sum(result.outcome == "answered" for result in own) / len(own)
