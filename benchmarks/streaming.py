"""Processor time of an event on its way through an entry VM.

Compares, in one run, an entry VM with a bare asyncio relay of bytes; and the
time to the first byte with that of asking the source directly.
"""

import argparse
import json
import statistics

from benchmarks import _streams

WARM_UP_TOKENS = 4


def measure(worker, url, streams, tokens):
    """Measure one way to the source.

    :param worker: process whose time counts, or None.
    :param url: where to ask.
    :param streams: streams at once.
    :param tokens: events of each.
    """
    _streams.ask(url, streams, WARM_UP_TOKENS)
    before = worker.cpu_seconds() if worker else 0.0
    events, first_bytes = _streams.ask(url, streams, tokens)
    used = worker.cpu_seconds() - before if worker else 0.0
    first_bytes.sort()
    return {
        "events": events,
        "cpu_us_per_event": used / events * 1e6,
        "first_byte_p50_ms": statistics.median(first_bytes),
        "first_byte_p99_ms": first_bytes[int(len(first_bytes) * 0.99)],
    }


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=60)
    parser.add_argument("--tokens", type=int, default=200)
    arguments = parser.parse_args()
    sizes = (arguments.streams, arguments.tokens)
    results = {}
    with _streams.Worker(_streams.source) as source:
        results["direct"] = measure(None, source.ready, *sizes)
        with _streams.Worker(_streams.bare_relay, source.ready) as relay:
            results["relay"] = measure(relay, relay.ready, *sizes)
        with _streams.Worker(_streams.gateway, source.ready) as gateway:
            results["gateway"] = measure(gateway, gateway.ready, *sizes)
    relay_us = results["relay"]["cpu_us_per_event"]
    gateway_us = results["gateway"]["cpu_us_per_event"]
    results["ratio_to_relay"] = relay_us / gateway_us
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
