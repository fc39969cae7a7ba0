"""Connections to a controller, and proxies that apply the updates sent to them."""

import json
import select
import socket
from typing import Self

from live.discovery import LOOPBACK
from live.waiting import TIMEOUT_S

READ_BYTES = 65536  # read at once; longer than any message sent


class Connection:
    """A connection to a controller; writes in pieces of `piece_bytes`, records the messages received."""

    def __init__(self, port: int, piece_bytes: int = READ_BYTES) -> None:
        self.sock = socket.create_connection((LOOPBACK, port), TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.piece_bytes = piece_bytes
        self.is_closed = False  # by the controller
        self._incomplete = b""
        self.messages: list[dict] = []

    def send(self, message_type: str, **fields: object) -> None:
        """Sends a message."""
        self.send_bytes(json.dumps({"msg": message_type} | fields).encode() + b"\n")

    def send_bytes(self, data: bytes) -> None:
        """Sends bytes as they are."""
        for start in range(0, len(data), self.piece_bytes):
            self.sock.sendall(data[start : start + self.piece_bytes])

    def read(self) -> None:
        """Reads everything received so far."""
        while not self.is_closed and select.select([self.sock], [], [], 0)[0]:
            try:
                data = self.sock.recv(READ_BYTES)
            except ConnectionError:
                data = b""
            self.is_closed = not data
            *lines, self._incomplete = (self._incomplete + data).split(b"\n")
            for line in lines:
                self.handle(json.loads(line))

    def handle(self, message: dict) -> None:
        """Handles a received message."""
        self.messages.append(message)

    def count_messages(self, message_type: str) -> int:
        """Returns how many messages of a type have been received."""
        self.read()
        return sum(message["msg"] == message_type for message in self.messages)

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class Proxy(Connection):
    """A joined proxy of one request class; keeps table, admitted share and ejections, and acknowledges."""

    def __init__(self, port: int, number: int, piece_bytes: int = READ_BYTES) -> None:
        super().__init__(port, piece_bytes)
        self.number = number
        self.complete_tables = 0  # received
        self.weights: dict[str, float] = {}
        self.ejected: set[str] = set()
        self.admitted_share = 1.0
        self.send("joined", sidecar=number, az="a", share=5.0, standing=True)

    def handle(self, message: dict) -> None:
        """Applies an update."""
        super().handle(message)
        if message["msg"] != "update":
            return
        if message.get("full"):
            self.weights = {}
            self.admitted_share = 1.0
            self.complete_tables += 1
        self.weights.update(message.get("endpoints", []))
        self.weights = {endpoint: weight for endpoint, weight in self.weights.items() if weight > 0}
        self.ejected |= set(message.get("eject", []))
        self.ejected -= set(message.get("restore", []))
        self.admitted_share = message.get("admit", self.admitted_share)
        if "nonce_out" in message:
            self.send("applied", sidecar=self.number, version=message["nonce_out"], lag_ms=1.0)

    def usable_endpoints(self) -> set[str]:
        """Returns the endpoints that it may forward requests to."""
        self.read()
        return set(self.weights) - self.ejected
