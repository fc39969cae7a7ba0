"""gRPC's own xDS client in a process of its own: `python -m oatcart.xds.standin.channel ADDRESS ID ZONE`.

It reads one command a line and answers each with a line of JSON: `call KIND N [KEY]` makes N calls over
`xds:///KIND` and reports how many each endpoint answered and how many ended with which status.
"""

import json
import os
import sys
from collections import Counter

import grpc

from oatcart.xds.standin.nodes import METHOD, SERVICE

CALL_TIMEOUT = 20.0  # s


def bootstrap(address: str, id: str, zone: str) -> str:
    """gRFC A27's bootstrap for one management server, without TLS."""
    return json.dumps(
        {
            "xds_servers": [
                {
                    "server_uri": address,
                    "channel_creds": [{"type": "insecure"}],
                    "server_features": ["xds_v3"],
                }
            ],
            "node": {"id": id, "locality": {"zone": zone}},
        }
    )


def make_calls(channel: grpc.Channel, count: int, key: str) -> dict:
    """Make calls; returns their number by endpoint name, or by status with a leading `!`."""
    call, results = channel.unary_unary(f"/{SERVICE}/{METHOD}"), Counter()
    for number in range(count):
        try:
            results[
                call((key or str(number)).encode(), timeout=CALL_TIMEOUT, wait_for_ready=not key).decode()
            ] += 1
        except grpc.RpcError as error:
            results[f"!{error.code().name}"] += 1
    return results


def main(address: str, id: str, zone: str) -> None:
    """Carry out the commands from standard input."""
    os.environ["GRPC_XDS_BOOTSTRAP_CONFIG"] = bootstrap(address, id, zone)
    channels: dict[str, grpc.Channel] = {}
    for line in sys.stdin:
        _, request_class, count, *key = line.split()
        if request_class not in channels:
            channels[request_class] = grpc.insecure_channel(f"xds:///{request_class}")
        print(json.dumps(make_calls(channels[request_class], int(count), "".join(key))), flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
