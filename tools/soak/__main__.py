"""Run the soak: ``python -m tools.soak --seed 7 --seconds 30``."""

import argparse
import asyncio
import random
import sys
import tempfile

from tools.soak import _cold_returns
from tools.soak import _orders
from tools.soak import _soak


def main():
    """Run one soak and print what was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--folder", default=None)
    parser.add_argument(
        "--no-series",
        action="store_true",
        help="no crashes of servers and stops of entry VMs in series",
    )
    parser.add_argument(
        "--planned",
        action="store_true",
        help="planned work only, beside which each request is answered",
    )
    parser.add_argument(
        "--orders",
        action="store_true",
        help="evacuations and configurations beside faults of control VMs",
    )
    parser.add_argument(
        "--kept-calls",
        action="store_true",
        help="orders that are given up, on connections that stay open",
    )
    parser.add_argument(
        "--cold-returns",
        action="store_true",
        help="servers that crash and are back under their ids, cold",
    )
    arguments = parser.parse_args()
    seed = arguments.seed
    if seed is None:
        seed = random.SystemRandom().getrandbits(32)
    print(f"seed {seed}")
    with tempfile.TemporaryDirectory() as scratch:
        folder = arguments.folder or scratch
        if arguments.orders:
            soak = _orders.soak(
                seed, arguments.seconds, folder, arguments.kept_calls
            )
        elif arguments.cold_returns:
            soak = _cold_returns.soak(seed, arguments.seconds, folder)
        else:
            soak = _soak.soak(
                seed,
                arguments.seconds,
                folder,
                has_series=not (arguments.no_series or arguments.planned),
                is_planned=arguments.planned,
            )
        book = asyncio.run(soak)
    print(f"answers {dict(book.answers)} runs {len(book.runs)}")
    print(f"crashes {len(book.crashes)}, requests {len(book.arrivals)}")
    for text in book.broken:
        print(f"BROKEN {text}")
    return 1 if book.broken else 0


if __name__ == "__main__":
    sys.exit(main())
