"""The other ends of a conductor's connections: whoever connects, and proxies that keep what they are told."""

import json
import select
import socket
from typing import Self

from live.discovery import LOOPBACK
from live.waiting import PATIENCE

READ_MOST = 65536  # bytes read at a time, and of a piece that no message fills


class End:
    """One connection to a conductor, from the other side."""

    def __init__(self, port: int, piece: int = READ_MOST) -> None:
        self.sock = socket.create_connection((LOOPBACK, port), PATIENCE)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.piece, self.unread, self.ended = piece, b"", False
        self.messages: list[dict] = []

    def say(self, kind: str, **fields: object) -> None:
        self.write(json.dumps({"msg": kind} | fields).encode() + b"\n")

    def write(self, data: bytes) -> None:
        for start in range(0, len(data), self.piece):
            self.sock.sendall(data[start : start + self.piece])

    def read(self) -> None:
        """Take in all that has come."""
        while not self.ended and select.select([self.sock], [], [], 0)[0]:
            try:
                data = self.sock.recv(READ_MOST)
            except ConnectionError:
                data = b""
            self.ended = not data
            *lines, self.unread = (self.unread + data).split(b"\n")
            for line in lines:
                self.take(json.loads(line))

    def take(self, message: dict) -> None:
        self.messages.append(message)

    def heard(self, kind: str) -> int:
        """How many messages of a kind have come."""
        self.read()
        return sum(message["msg"] == kind for message in self.messages)

    def close(self) -> None:
        self.sock.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class Proxy(End):
    """A joined proxy of one class: its table, its level and the nodes it shuts out, and it answers marks."""

    def __init__(self, port: int, number: int, piece: int = READ_MOST) -> None:
        super().__init__(port, piece)
        self.number, self.whole_tables = number, 0
        self.lines: dict[str, float] = {}
        self.shut: set[str] = set()
        self.level = 1.0
        self.say("joined", sidecar=number, az="a", share=5.0, standing=True)

    def take(self, message: dict) -> None:
        super().take(message)
        if message["msg"] != "update":
            return
        if message.get("full"):
            self.lines, self.level = {}, 1.0
            self.whole_tables += 1
        self.lines.update(message.get("endpoints", []))
        self.lines = {node: weight for node, weight in self.lines.items() if weight > 0}
        self.shut |= set(message.get("eject", []))
        self.shut -= set(message.get("restore", []))
        self.level = message.get("admit", self.level)
        if "nonce_out" in message:
            self.say("applied", sidecar=self.number, version=message["nonce_out"], lag_ms=1.0)

    def open_to(self) -> set[str]:
        """The nodes it may send to."""
        self.read()
        return set(self.lines) - self.shut
