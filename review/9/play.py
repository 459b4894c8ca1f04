"""Requests with long heads, whose own region has lost its workers."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_2 as standins

HOST = "shop.example"
#: Requests of the case.
COUNT = 60
#: What DENIED allows: 5 and one in 500 of all requests.
MOST_DENIED = 5 + COUNT / 500


def make_headers(request_id, head_bytes):
    """Header fields of a request whose head has a given size."""
    headers = [
        ("Host", HOST),
        (f"{standins.PREFIX}Request-Id", request_id),
        (f"{standins.PREFIX}Deadline-Ms", "4000"),
    ]
    size = len("GET /shop/item HTTP/1.1\r\n\r\n")
    size += sum(len(name) + len(value) + 4 for name, value in headers)
    headers.append(("Cookie", "c" * (head_bytes - size - len("Cookie: \r\n"))))
    return headers


async def play(record, has_trouble):
    """Play the case; return whether DENIED held."""
    zones = {"a1": "north", "b1": "south", "c1": "west"}
    async with standins.Deployment(record, zones) as deployment:
        network = deployment.network
        workers = [
            standins.Worker(deployment, "shop", zone, f"{network}.{n}.100")
            for n, zone in enumerate(zones, 1)
        ]
        # The one that is lost is a quarter of them.
        workers.append(
            standins.Worker(deployment, "shop", "b1", f"{network}.2.101")
        )
        async with workers[0], workers[1], workers[2], workers[3]:
            route = {
                "name": "r-shop",
                "host": HOST,
                "path_prefix": "/shop/",
                "service": "shop",
            }
            await deployment.order(
                "PUT",
                "/config",
                standins.make_configuration(1, [route], ["shop"]),
            )
            await deployment.wait_ready()
            await asyncio.sleep(4.0)
            if has_trouble:
                record.write("the worker of a1 crashes for good")
                await workers[0].crash()
                await asyncio.sleep(8.0)
            [entry] = deployment.entries_of("a1")
            denied = served = 0
            for _number in range(COUNT):
                request_id = standins.new_request_id()
                answer = await standins.call(
                    entry.address("main"),
                    "GET",
                    "/shop/item",
                    make_headers(request_id, 16380),
                )
                record.write(
                    f"{request_id} with a head of 16380 bytes: "
                    f"{answer.status} {answer.body[:60]!r}"
                )
                served += answer.status == 200
                denied += 400 <= answer.status < 500
                await asyncio.sleep(0.05)
            record.write(f"served {served}, denied {denied} of {COUNT}")
            if not has_trouble and served < COUNT:
                raise standins.CannotRun("not all are served without trouble")
            return denied <= MOST_DENIED


if __name__ == "__main__":
    standins.run(play, pathlib.Path(__file__).resolve().parent)
