"""The discovery service of the tests: the list of nodes, whole or as changes, in pieces of any size."""

import json
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Self
from urllib.parse import parse_qs, urlsplit

from live.waiting import LOOK_EVERY

LOOPBACK = "127.0.0.1"
WHOLE_ANSWER = 1 << 20  # bytes of a piece that no answer fills


@dataclass(slots=True)
class Member:
    """A node as the list has it; `started_ms` is Unix time, 0 for long ago."""

    name: str
    phase: str = "SERVING"
    started_ms: float = 0.0
    changed_at: int = 1  # the revision that brought its last change

    def entry(self) -> dict:
        return {
            "id": self.name,
            "host_port": f"{LOOPBACK}:9",
            "locality": "a",
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.started_ms,
        }


def listed(members: Iterable[Member], revision: int = 1) -> dict:
    """A whole list as discovery and the configuration write it."""
    return {"revision": revision, "complete": True, "members": [member.entry() for member in members]}


class QuietServer(ThreadingHTTPServer):
    """Connections that a conductor ends in the middle of a call are no errors here."""

    daemon_threads = True

    def handle_error(self, *_: object) -> None:
        """Nothing."""


class Discovery:
    """The discovery service: answers a watch once something is newer, or once its wait is over."""

    def __init__(
        self, members: Iterable[Member], whole_lists: bool = False, piece: int = WHOLE_ANSWER
    ) -> None:
        self.members = {member.name: member for member in members}
        self.whole_lists, self.piece = whole_lists, piece
        self.revision, self.calls = 1, 0
        self.changed, self.closing = threading.Condition(), False
        self.server = QuietServer((LOOPBACK, 0), self._handler(), bind_and_activate=False)
        self.server.server_bind()  # refuses connections until `serve`

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.server.server_address)

    def serve(self) -> Self:
        self.server.server_activate()
        self.thread = threading.Thread(target=self.server.serve_forever, args=(LOOK_EVERY,), daemon=True)
        self.thread.start()
        return self

    def change(self, name: str, phase: str, started_ms: float = 0.0) -> None:
        """A node's entry from now on; DELETED takes it off the list."""
        with self.changed:
            self.revision += 1
            self.members[name] = Member(name, phase, started_ms, self.revision)
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

    def answer(self, since: int | None, wait: float) -> dict:
        """The whole list, or what has changed since a revision, at the latest when the wait is over."""
        with self.changed:
            self.calls += 1
            self.changed.wait_for(lambda: since is None or self.revision > since or self.closing, wait)
            if since is None or self.whole_lists:
                return listed((one for one in self.members.values() if one.phase != "DELETED"), self.revision)
            newer = [one for one in self.members.values() if one.changed_at > since]
            return listed(newer, self.revision) | {"complete": False}

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        discovery = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                query = {name: int(values[0]) for name, values in parse_qs(urlsplit(self.path).query).items()}
                answer = discovery.answer(query.get("since"), query.get("timeout_ms", 0) / 1000)
                body = json.dumps(answer).encode()
                data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                for start in range(0, len(data), discovery.piece):
                    self.wfile.write(data[start : start + discovery.piece])

            def log_message(self, *_: object) -> None:
                """Nothing: a test prints what it needs itself."""

        return Handler
