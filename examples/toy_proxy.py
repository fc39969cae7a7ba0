"""A toy proxy and collector in one: joins the controller, reports made-up load, prints its updates."""

import json
import socket
import time

CONTROLLER = ("127.0.0.1", 5000)
REPORT_PERIOD_S = 1.0


def encode_message(**fields) -> bytes:
    """Returns a message of the controller's protocol: a JSON object on a line of its own."""
    return json.dumps(fields).encode() + b"\n"


def main() -> None:
    """Keeps the table that the controller sends, until it closes the stream."""
    with socket.create_connection(CONTROLLER) as stream, socket.create_connection(CONTROLLER) as collector:
        stream.sendall(encode_message(msg="joined", sidecar=0, az="east", share=20.0, standing=True))
        collector.sendall(encode_message(msg="collector", az="east"))
        stream.settimeout(REPORT_PERIOD_S)
        table, unread, reported_at = {}, b"", time.monotonic()
        while True:
            try:
                data = stream.recv(65536)
                if not data:
                    return print("the controller closed the stream")
                unread += data
            except TimeoutError:
                pass
            *lines, unread = unread.split(b"\n")
            for update in map(json.loads, lines):
                print(json.dumps(update))
                table = ({} if update.get("full") else table) | dict(update.get("endpoints", []))
                if "nonce_out" in update:
                    stream.sendall(
                        encode_message(msg="applied", sidecar=0, version=update["nonce_out"], lag_ms=1.0)
                    )
            if time.monotonic() - reported_at >= REPORT_PERIOD_S:
                reported_at = time.monotonic()
                stream.sendall(
                    encode_message(
                        msg="usage", sidecar=0, kind="lookup", n=20, bad=0, window=REPORT_PERIOD_S * 1000
                    )
                )
                for endpoint in (endpoint for endpoint, weight in table.items() if weight):
                    collector.sendall(
                        encode_message(
                            msg="heard",
                            az="east",
                            host=endpoint,
                            n=10,
                            bad=0,
                            avg=40.0,
                            window=REPORT_PERIOD_S * 1000,
                            report={"concurrent": 1 + 3 * (endpoint == "s-2")},
                        )
                    )


if __name__ == "__main__":
    main()
