"""Charging of client requests to the quota of their organisation."""

from typing import NamedTuple

from expression import Error
from expression import Ok

from buckthorntack import admission
from buckthorntack import directives
from buckthorntack import events
from buckthorntack.gateway import _errors
from buckthorntack.gateway import _events
from buckthorntack.schema import messages


class Charge(NamedTuple):
    """What one request was charged."""

    organisation: str
    quota: directives.Quota
    amount: float


def compute_cost(quota, prompt):
    """Return the amount that a request counts as.

    :param quota: the ``directives.Quota``.
    :param prompt: the ``dispatch.Prompt``; None without a count of tokens
        that can be read.

    >>> tokens = directives.Quota(directives.QuotaUnit.TOKENS, 1.0, 1.0, 70.0)
    >>> compute_cost(tokens, None)
    70.0
    """
    if quota.unit is directives.QuotaUnit.REQUESTS:
        return 1.0
    count = 0 if prompt is None else prompt.tokens + prompt.output_tokens
    if count <= 0:
        # No prompt is empty; such a count must not beat the quota.
        return max(0.0, quota.default_tokens)
    return float(count)


class QuotaCharger:
    """Charges requests at the entry VM that their client has reached.

    :param settings: ``NodeSettings``.
    :param find_organisation: returns a ``directives.Organisation`` by name,
        or None.
    :param sums: the ``dispatch.SharedSums`` of organisations.
    :param rng: source of randomness.
    :param now_s: monotonic time in seconds.
    """

    def __init__(self, settings, find_organisation, sums, rng, now_s):
        self.find_organisation = find_organisation
        self.sums = sums
        self.quotas = admission.OrganisationQuotas(
            settings.region,
            settings.regions.values(),
            settings.quota_tolerance,
            self._find_quota,
            rng,
            now_s,
        )
        sums.add_listener(self.quotas)
        self._log = events.EventLog("gateway")
        self._was_cut_off = self.quotas.is_cut_off

    def _find_quota(self, name):
        organisation = self.find_organisation(name)
        return None if organisation is None else organisation.quota

    def charge(self, caller, prompt, now_s):
        """Charge a request.

        :param caller: the ``Caller``; None if callers need no keys.
        :param prompt: the ``dispatch.Prompt``; None for none.
        :param now_s: monotonic time in seconds.
        :returns: ``Result`` of a :class:`Charge`, which is None without a
            quota, or of a ``QuotaUsedUpError``.
        """
        organisation = None if caller is None else caller.organisation
        if organisation is None or organisation.quota is None:
            return Ok(None)
        name, quota = organisation.name, organisation.quota
        cost = compute_cost(quota, prompt)
        charge = Charge(name, quota, cost)
        wait_s = self.quotas.charge(name, quota, cost, now_s)
        admitted = cost if wait_s is None else 0.0
        self.sums.add(messages.OrganisationUse(name, admitted, cost))
        self._log_share()
        if wait_s is not None:
            return Error(_errors.QuotaUsedUpError(charge, wait_s * 1e3))
        return Ok(charge)

    def refund(self, charge, now_s):
        """Give back the charge of a request that did not run.

        :param charge: the :class:`Charge`.
        :param now_s: monotonic time in seconds.
        """
        name, quota, amount = charge
        self.quotas.refund(name, quota, amount, now_s)
        self.sums.add(messages.OrganisationUse(name, -amount, 0.0))

    def _log_share(self):
        is_cut_off = self.quotas.is_cut_off
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            self._log.write(_events.QUOTA_SHARE_CHANGED, cut_off=is_cut_off)
