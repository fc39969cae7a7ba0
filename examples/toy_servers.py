"""Discovery and three nodes in one toy, for trying a conductor on loopback.

Type `drain s-2`, `back s-2` or `gone s-2` and Enter to change the list.
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
    global revision
    with changed:
        revision += 1
        entry = members.get(endpoint_id, ({}, 0))[0] | {"id": endpoint_id} | fields
        members[endpoint_id] = (entry, revision)
        changed.notify_all()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        url = urlsplit(self.path)
        query = {name: float(values[0]) for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/servers":
            self.answer(self.endpoint_list(query.get("since"), query.get("timeout_ms", 0) / 1000))
        elif url.path in ("/healthz", "/load"):
            self.answer({"concurrent": 1})
        else:
            self.send_error(404)

    def endpoint_list(self, since: float | None, wait: float) -> dict:
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
        data = json.dumps(body).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, text: str, *args) -> None:
        print(self.server.server_port, text % args)


def serve(address: tuple[str, int]) -> None:
    server = ThreadingHTTPServer(address, Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()


def main() -> None:
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
    threading.Event().wait()  # the input has ended; go on serving


if __name__ == "__main__":
    main()
