"""Cost of a routing decision, beside the simple policies.

Run ``python -m benchmarks.routing`` at the root of the sources.
"""

import datetime
import random
import statistics
import time

from buckthorntack import routing
from buckthorntack.schema import messages

SIZES = (10, 100, 1000)
DECISIONS = 4000
ROUNDS = 5
PROMPT_BYTES = (200, 100_000, 1_000_000)
NOW = datetime.timedelta(seconds=60)
POLICIES = (
    routing.Router,
    routing.RandomPolicy,
    routing.RoundRobinPolicy,
    routing.LeastLoadedPolicy,
)


def server(number):
    """Make a backend server's record.

    :param number: tells servers apart.
    :returns: ``ServerRecord``.
    """
    load = messages.ServerLoad(number % 7, 0, 0.5, 200)
    return messages.ServerRecord(
        f"server-{number}",
        1,
        1,
        "ready",
        "writers",
        "pitchwriter",
        ["writer-2"],
        [],
        "both",
        "fukuoka",
        "fukuoka-a",
        f"http://10.0.0.{number}:8000",
        32,
        10**9,
        load,
    )


def make_policy(kind, size):
    """Make a policy that knows some servers.

    :param kind: its class.
    :param size: number of servers.
    :returns: the policy.
    """
    rng = random.Random(1)
    if kind is routing.Router:
        policy = kind("fukuoka", "fukuoka-a", routing.RouterSettings(), rng)
    else:
        policy = kind("fukuoka", "fukuoka-a", rng)
    for number in range(size):
        policy.update_server(server(number), datetime.timedelta())
    return policy


def requests():
    """Make requests: a third long ones with shared prefixes.

    :returns: a list of ``RouteRequest``.
    """
    rng = random.Random(2)
    packs = [rng.randbytes(100_000) for _ in range(20)]
    result = []
    for number in range(200):
        is_long = number % 3 == 0
        body = rng.choice(packs) if is_long else b"pitch" * 30
        result.append(
            routing.RouteRequest(
                f"r{number}",
                "shops",
                "pitchwriter",
                "writer-2",
                routing.prefix_hashes(body),
                len(body) // 4,
                len(body),
                frozenset({"fukuoka"}),
            )
        )
    return result


def measure(kind, size, offered):
    """Measure decisions with the start and end of each attempt.

    :param kind: class of the policy.
    :param size: number of servers.
    :param offered: requests.
    :returns: microseconds a decision, and with its bookkeeping.
    """
    policy = make_policy(kind, size)
    in_flight = []
    chosen_s = whole_s = 0.0
    for number in range(DECISIONS):
        request = offered[number % len(offered)]
        start_s = time.thread_time()
        decision = policy.choose(request, NOW).ok
        middle_s = time.thread_time()
        name = decision.server_id
        policy.on_attempt_started(name, number, request.prompt_tokens, NOW)
        in_flight.append((name, number))
        if len(in_flight) > 2 * size:
            name, attempt = in_flight.pop(0)
            policy.on_attempt_finished(
                name, attempt, routing.AttemptOutcome.OK, NOW
            )
        whole_s += time.thread_time() - start_s
        chosen_s += middle_s - start_s
    return chosen_s / DECISIONS * 1e6, whole_s / DECISIONS * 1e6


def measure_hashes(length):
    """Measure the hashing of a prompt.

    :param length: its bytes.
    :returns: microseconds.
    """
    body = random.Random(3).randbytes(length)
    repeats = 200
    start_s = time.thread_time()
    for _ in range(repeats):
        routing.prefix_hashes(body)
    return (time.thread_time() - start_s) / repeats * 1e6


def main():
    """Print the median of several rounds, in microseconds of CPU time."""
    offered = requests()
    print("policy              servers  decision_us  with_bookkeeping_us")
    for kind in POLICIES:
        for size in SIZES:
            rounds = [measure(kind, size, offered) for _ in range(ROUNDS)]
            chosen = statistics.median(pair[0] for pair in rounds)
            whole = statistics.median(pair[1] for pair in rounds)
            name = kind.__name__
            print(f"{name:19} {size:7} {chosen:12.1f} {whole:20.1f}")
    print("prompt_bytes  hashing_us")
    for length in PROMPT_BYTES:
        print(f"{length:12} {measure_hashes(length):11.1f}")


if __name__ == "__main__":
    main()
