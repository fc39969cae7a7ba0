"""Shows what an xDS client sees of a controller, and each change:

`python -m oatcart.xds.standin 127.0.0.1:18000 --zone east lookup order`
"""

import argparse
import asyncio
import sys
import time

from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, MEMBER, ROUTE
from oatcart.xds.standin.client import Client
from oatcart.xds.view import EACH, SPREAD, WHOLE


def view_lines(client: Client) -> list[str]:
    """Return a line for each request class: drops, then endpoints with weight, and health if not healthy."""
    lines = []
    for request_class, (_, message) in sorted(client.resources[ENDPOINTS].items()):
        dropped_percent = sum(one.drop_percentage.numerator for one in message.policy.drop_overloads) / 10_000
        endpoints = [
            f"{name} {weight}" + ("" if health == "HEALTHY" else f" {health.lower()}")
            for name, (weight, health) in sorted(client.endpoints(request_class).items())
        ]
        lines.append(
            f"{request_class}: {f'{dropped_percent:g}% dropped; ' if dropped_percent else ''}"
            f"{', '.join(endpoints) or 'no endpoints'}"
        )
    return lines


async def watch(options: argparse.Namespace) -> int:
    """Print the view whenever it changes, until the stream ends; returns an exit code."""
    client = Client(
        options.address, options.id, options.zone, options.delta or options.shape == EACH, options.shape
    )
    began = time.monotonic()
    client.connect()
    client.request(CLUSTER)
    requested, shown = False, []
    while client.status is None:
        client.changed.clear()
        request_classes = options.kinds or sorted(client.resources[CLUSTER])
        if request_classes and not requested:
            client.request(ENDPOINTS, request_classes)
            client.request(ROUTE, request_classes)
            requested = True
        if missing := [name for name in client.collections() if name not in client.subscribed[MEMBER]]:
            client.request(MEMBER, missing)
        complete = not client.collections() or client.resources[MEMBER]  # else endpoints are still missing
        if complete and (now := view_lines(client)) != shown:
            shown = now
            print(
                f"{time.monotonic() - began:8.2f} s  {client.received_bytes} bytes so far",
                *shown,
                sep="\n    ",
                flush=True,
            )
            if options.once:
                break
        await client.changed.wait()
    if client.status is not None:
        print(f"the stream ended: {client.status[0]}: {client.status[1]}", file=sys.stderr)
    await client.close()
    return 0 if client.status is None else 1


def main() -> int:
    """Run the command line; returns an exit code."""
    parser = argparse.ArgumentParser(prog="oatcart.xds.standin", description=__doc__)
    parser.add_argument("address", help="address of the xDS front, host:port")
    parser.add_argument("kinds", nargs="*", help="request classes; default: all")
    parser.add_argument("--zone", default="", help="the client's zone")
    parser.add_argument("--id", default="onlooker", help="the client's id")
    parser.add_argument(
        "--shape", default=WHOLE, choices=(WHOLE, EACH, SPREAD), help="how endpoints are delivered"
    )
    parser.add_argument("--delta", action="store_true", help="use the incremental protocol")
    parser.add_argument("--once", action="store_true", help="show the view once and exit")
    try:
        return asyncio.run(watch(parser.parse_args()))
    except KeyboardInterrupt:
        return 0


if __name__ == "__main__":
    sys.exit(main())
