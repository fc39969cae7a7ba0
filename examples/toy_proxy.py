"""A toy proxy and collector in one: joins the conductor, reports made-up work, prints the orders it gets."""

import json
import socket
import time

CONDUCTOR = ("127.0.0.1", 5000)
PERIOD = 1.0  # s between reports


def message(**fields) -> bytes:
    return json.dumps(fields).encode() + b"\n"


def main() -> None:
    with socket.create_connection(CONDUCTOR) as stream, socket.create_connection(CONDUCTOR) as reports:
        stream.sendall(message(msg="joined", sidecar=0, az="east", share=20.0, standing=True))
        reports.sendall(message(msg="collector", az="east"))
        stream.settimeout(PERIOD)
        table, read, reported = {}, b"", time.monotonic()
        while True:
            try:
                data = stream.recv(65536)
                if not data:
                    return print("the conductor ended the stream")
                read += data
            except TimeoutError:
                pass
            *lines, read = read.split(b"\n")
            for order in map(json.loads, lines):
                print(json.dumps(order))
                table = ({} if order.get("full") else table) | dict(order.get("endpoints", []))
                if "nonce_out" in order:
                    stream.sendall(message(msg="applied", sidecar=0, version=order["nonce_out"], lag_ms=1.0))
            if time.monotonic() - reported >= PERIOD:
                reported = time.monotonic()
                stream.sendall(
                    message(msg="usage", sidecar=0, kind="lookup", n=20, bad=0, window=PERIOD * 1000)
                )
                for node in (node for node, weight in table.items() if weight):
                    reports.sendall(
                        message(
                            msg="heard",
                            az="east",
                            host=node,
                            n=10,
                            bad=0,
                            avg=40.0,
                            window=PERIOD * 1000,
                            report={"concurrent": 1 + 3 * (node == "s-2")},
                        )
                    )


if __name__ == "__main__":
    main()
