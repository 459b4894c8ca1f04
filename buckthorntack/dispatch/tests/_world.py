"""Servers and the dispatcher of one entry VM, without a network."""

import datetime
import random

from buckthorntack import discovery
from buckthorntack import dispatch
from buckthorntack.directives.tests import _documents
from buckthorntack.discovery.tests import _records

SECOND = datetime.timedelta(seconds=1)
OWN = "10.1.0.9:80"


class World:
    """Servers and their load, as known to one entry VM.

    :param settings: ``dispatch.DispatchSettings``.
    :param region: region of the entry VM.
    """

    def __init__(self, settings=None, region="fukuoka"):
        self.settings = settings or dispatch.DispatchSettings()
        self.now = 100 * SECOND
        self.registry = discovery.Registry(1, discovery.Timing(), self.now)
        self.fleet = dispatch.Fleet(self.settings)
        self.rates = dispatch.ServerRates(OWN, self.settings)
        self.dispatcher = dispatch.Dispatcher(
            region,
            self.fleet,
            self.rates,
            self.settings,
            random.Random(4),
        )

    def add_server(self, server_id, **fields):
        self.registry.merge_server(
            _records.server(server_id, **fields), self.now
        )

    def make_request(self, prompt=None, route=None, service=None, **fields):
        request = dispatch.RoutingRequest(
            route or _documents.route(),
            service or _documents.service(),
            prompt,
            frozenset(),
            5000.0,
            True,
        )
        return request._replace(**fields)

    def choose(self, request):
        views = [
            view
            for view in self.registry.servers.values()
            if view.record.state != "gone"
        ]
        return self.dispatcher.choose(request, views, self.now)

    def send(self, request):
        """Choose a server and count the request as waiting there."""
        decision = self.choose(request)
        assert isinstance(decision, dispatch.Serve), decision
        flight = self.dispatcher.create_in_flight_request(
            request, decision, self.now
        )
        self.fleet.on_request_sent(flight, request.prompt)
        return flight

    @property
    def now_s(self):
        return self.now.total_seconds()


def prompt(pack="pack", pack_tokens=13_300, tokens=3_720, own="own"):
    parts = (dispatch.Part(pack, pack_tokens), dispatch.Part(own, tokens))
    return dispatch.Prompt(parts, pack_tokens + tokens, 120)
