"""A client's view of a conductor, live: `python -m oatcart.xds.standin 127.0.0.1:18000 --zone east lookup
order`.
"""

import argparse
import asyncio
import sys
import time

from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, MEMBER, ROUTE
from oatcart.xds.standin.client import Client
from oatcart.xds.view import EACH, SPREAD, WHOLE


def lines(client: Client) -> list[str]:
    """What it holds, a line a kind: drops, then each node's weight, with its health where that is not
    healthy.
    """
    out = []
    for kind, (_, message) in sorted(client.held[ENDPOINTS].items()):
        drops = sum(one.drop_percentage.numerator for one in message.policy.drop_overloads) / 10_000
        nodes = [
            f"{name} {weight}" + ("" if health == "HEALTHY" else f" {health.lower()}")
            for name, (weight, health) in sorted(client.endpoints(kind).items())
        ]
        out.append(f"{kind}: {f'{drops:g}% turned away; ' if drops else ''}{', '.join(nodes) or 'no node'}")
    return out


async def watch(told: argparse.Namespace) -> int:
    client = Client(told.address, told.id, told.zone, told.delta or told.shape == EACH, told.shape)
    began = time.monotonic()
    client.connect()
    client.ask(CLUSTER)
    asked, shown = False, []
    while client.status is None:
        client.news.clear()
        kinds = told.kinds or sorted(client.held[CLUSTER])
        if kinds and not asked:
            client.ask(ENDPOINTS, kinds)
            client.ask(ROUTE, kinds)
            asked = True
        if missing := [one for one in client.collections() if one not in client.names[MEMBER]]:
            client.ask(MEMBER, missing)
        whole = not client.collections() or client.held[MEMBER]  # else its endpoints are still to come
        if whole and (now := lines(client)) != shown:
            shown = now
            print(
                f"{time.monotonic() - began:8.2f} s  {client.bytes} bytes so far",
                *shown,
                sep="\n    ",
                flush=True,
            )
            if told.once:
                break
        await client.news.wait()
    if client.status is not None:
        print(f"the stream ended: {client.status[0]}: {client.status[1]}", file=sys.stderr)
    await client.close()
    return 0 if client.status is None else 1


def main() -> int:
    parser = argparse.ArgumentParser(prog="oatcart.xds.standin", description=__doc__)
    parser.add_argument("address", help="the xDS front, host:port")
    parser.add_argument("kinds", nargs="*", help="request kinds; all where none is named")
    parser.add_argument("--zone", default="", help="the client's zone")
    parser.add_argument("--id", default="onlooker", help="the client's id")
    parser.add_argument("--shape", default=WHOLE, choices=(WHOLE, EACH, SPREAD), help="how endpoints come")
    parser.add_argument("--delta", action="store_true", help="the incremental protocol")
    parser.add_argument("--once", action="store_true", help="show one view and end")
    try:
        return asyncio.run(watch(parser.parse_args()))
    except KeyboardInterrupt:
        return 0


if __name__ == "__main__":
    sys.exit(main())
