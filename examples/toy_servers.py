"""A toy discovery service and three toy endpoints in one process, to try a controller on loopback.

Type `drain s-2`, `back s-2` or `gone s-2` and Enter to change the endpoint list.
"""

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

DISCOVERY_ADDRESS, FIRST_ENDPOINT_PORT = ("127.0.0.1", 8500), 8601
PHASES = {"drain": "DRAINING", "back": "SERVING", "gone": "DELETED"}

changed = threading.Condition()
members = {}  # by id: its entry and the revision in which it last changed
revision = 0


def change_endpoint(endpoint_id: str, **fields) -> None:
    """Changes fields of an entry, or adds it, in a new revision of the list."""
    global revision
    with changed:
        revision += 1
        entry = members.get(endpoint_id, ({}, 0))[0] | {"id": endpoint_id} | fields
        members[endpoint_id] = (entry, revision)
        changed.notify_all()


class Handler(BaseHTTPRequestHandler):
    """Serves the endpoint list, and the health and load of the endpoints."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answers a GET request."""
        url = urlsplit(self.path)
        query = {name: float(values[0]) for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/servers":
            self.answer(self.endpoint_list(query.get("since"), query.get("timeout_ms", 0) / 1000))
        elif url.path in ("/healthz", "/load"):
            self.answer({"concurrent": 1})
        else:
            self.send_error(404)

    def endpoint_list(self, since: float | None, wait: float) -> dict:
        """Returns the complete list, or what changed since a revision.

        Waits up to `wait` seconds for a newer revision.
        """
        with changed:
            changed.wait_for(lambda: since is None or revision > since, wait)
            return {
                "revision": revision,
                "complete": since is None,
                "members": [
                    entry
                    for entry, changed_in in members.values()
                    if (changed_in > since if since is not None else entry["phase"] != "DELETED")
                ],
            }

    def answer(self, body: dict) -> None:
        """Sends a JSON body with status 200."""
        data = json.dumps(body).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, text: str, *args) -> None:
        """Prints a request with the port that received it."""
        print(self.server.server_port, text % args)


def serve(address: tuple[str, int]) -> None:
    """Serves at an address in a thread of its own."""
    server = ThreadingHTTPServer(address, Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()


def main() -> None:
    """Starts all servers, then changes the list as the lines on standard input say."""
    for number, zone in enumerate(("east", "east", "west")):
        port = FIRST_ENDPOINT_PORT + number
        serve(("127.0.0.1", port))
        change_endpoint(
            f"s-{number + 1}",
            host_port=f"127.0.0.1:{port}",
            locality=zone,
            phase="SERVING",
            size=1.0,
            up_since_ms=0,
        )
    serve(DISCOVERY_ADDRESS)
    for line in sys.stdin:
        command, _, endpoint_id = line.strip().partition(" ")
        if command in PHASES and endpoint_id in members:
            started = {"up_since_ms": time.time() * 1000} if command == "back" else {}
            change_endpoint(endpoint_id, phase=PHASES[command], **started)
        else:
            print(f"{' | '.join(PHASES)} {' | '.join(members)}")
    threading.Event().wait()  # standard input has ended; keep serving


if __name__ == "__main__":
    main()
