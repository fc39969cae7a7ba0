"""A discovery service for tests: complete lists or changes, in pieces of any size."""

import json
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Self
from urllib.parse import parse_qs, urlsplit

from live.waiting import POLL_INTERVAL_S

LOOPBACK = "127.0.0.1"
UNSPLIT = 1 << 20  # bytes; larger than any response, which is then written at once


@dataclass(slots=True)
class ListedEndpoint:
    """An endpoint in a list; `started_ms` is Unix time, 0 for long ago."""

    name: str
    phase: str = "SERVING"
    started_ms: float = 0.0
    changed_at: int = 1  # the revision of its last change

    def entry(self) -> dict:
        """Returns the endpoint as discovery and the configuration write it."""
        return {
            "id": self.name,
            "host_port": f"{LOOPBACK}:9",
            "locality": "a",
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.started_ms,
        }


def endpoint_list(members: Iterable[ListedEndpoint], revision: int = 1) -> dict:
    """Returns a complete list as discovery and the configuration write it."""
    return {"revision": revision, "complete": True, "members": [member.entry() for member in members]}


class QuietServer(ThreadingHTTPServer):
    """A server that ignores errors: controllers may close connections during a request."""

    daemon_threads = True

    def handle_error(self, *_: object) -> None:
        """Ignores the error."""


class DiscoveryService:
    """Responds to a watch when there is a newer revision, or at the end of its wait.

    `complete_lists`: responds with complete lists to watches too; `piece_bytes`: size of the pieces in which
    responses are written.
    """

    def __init__(
        self, members: Iterable[ListedEndpoint], complete_lists: bool = False, piece_bytes: int = UNSPLIT
    ) -> None:
        self.members = {member.name: member for member in members}
        self.complete_lists = complete_lists
        self.piece_bytes = piece_bytes
        self.revision = 1
        self.requests = 0
        self.changed = threading.Condition()
        self.closing = False
        self.server = QuietServer((LOOPBACK, 0), self._handler(), bind_and_activate=False)
        self.server.server_bind()  # refuses connections until `serve`

    @property
    def address(self) -> str:
        """Returns `host:port`."""
        return "{}:{}".format(*self.server.server_address)

    def serve(self) -> Self:
        """Starts to accept connections."""
        self.server.server_activate()
        self.thread = threading.Thread(target=self.server.serve_forever, args=(POLL_INTERVAL_S,), daemon=True)
        self.thread.start()
        return self

    def change(self, name: str, phase: str, started_ms: float = 0.0) -> None:
        """Changes an endpoint; DELETED removes it from the list."""
        with self.changed:
            self.revision += 1
            self.members[name] = ListedEndpoint(name, phase, started_ms, self.revision)
            self.changed.notify_all()

    def __enter__(self) -> Self:
        return self.serve()

    def __exit__(self, *_: object) -> None:
        with self.changed:
            self.closing = True
            self.changed.notify_all()
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()

    def response(self, since: int | None, wait: float) -> dict:
        """Returns the complete list, or changes since a revision, after at most `wait` s."""
        with self.changed:
            self.requests += 1
            self.changed.wait_for(lambda: since is None or self.revision > since or self.closing, wait)
            if since is None or self.complete_lists:
                return endpoint_list(
                    (member for member in self.members.values() if member.phase != "DELETED"), self.revision
                )
            newer = [member for member in self.members.values() if member.changed_at > since]
            return endpoint_list(newer, self.revision) | {"complete": False}

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        discovery = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:  # noqa: N802
                """Responds in pieces."""
                query = {name: int(values[0]) for name, values in parse_qs(urlsplit(self.path).query).items()}
                response = discovery.response(query.get("since"), query.get("timeout_ms", 0) / 1000)
                body = json.dumps(response).encode()
                data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                for start in range(0, len(data), discovery.piece_bytes):
                    self.wfile.write(data[start : start + discovery.piece_bytes])

            def log_message(self, *_: object) -> None:
                """Logs nothing."""

        return Handler
