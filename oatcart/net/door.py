"""The conductor's address: who connects is a stranger until a first message says who it is."""

import errno
import socket
from collections.abc import Generator

from oatcart.net import collector, sidecar
from oatcart.net.codec import COLLECTOR, PING, PONG, Codec, parsed
from oatcart.net.conductor import Rounds
from oatcart.net.ending import Ended, Ending, ended_by
from oatcart.net.log import Log
from oatcart.net.loop import IN, Loop, Task, Wait
from oatcart.net.stream import Address, Stream

STRANGER_MOST = 10.0  # s until a stranger has said who it is; a proxy does so with its first bytes
KEPT_BACK = 96  # descriptors for discovery, probes, the loop and the log
NO_ROOM_WAIT = 0.2  # s without accepting where there is no room; far within a proxy's redial


class Door:
    def __init__(self, loop: Loop, log: Log, codec: Codec, rounds: Rounds, descriptors: int) -> None:
        self.loop, self.log, self.codec, self.rounds = loop, log, codec, rounds
        self.most = max(1, descriptors - KEPT_BACK)
        self.known = 0  # connections of proxies and collectors
        self.strangers: dict[Stream, Task] = {}  # oldest first

    def listen(self, address: Address) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(1024)
        self.loop.spawn(self._accept(sock))
        return sock

    def _accept(self, listener: socket.socket) -> Generator[Wait, bool, None]:
        while True:
            yield Wait(listener.fileno(), IN)
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno != errno.ECONNABORTED:
                    self.log.say("door", f"cannot accept: {ended_by(error)}")
                    yield Wait(until=self.loop.now + NO_ROOM_WAIT)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = Stream(self.loop, sock)
            self.strangers[stream] = self.loop.spawn(self._life(stream))
            while self.known + len(self.strangers) >= self.most:
                if self.strangers:  # the one that has said nothing for longest makes room
                    self.log.say("door", f"a stranger gone: {Ended(Ending.CROWDED)}")
                    self.loop.end(next(iter(self.strangers.values())))
                else:
                    yield Wait(until=self.loop.now + NO_ROOM_WAIT)

    def _life(self, stream: Stream) -> Generator[Wait, bool, None]:
        """The life of a connection, whoever is at its other end."""
        who, known = "a stranger", 0
        try:
            message = yield from self._greet(stream)
            del self.strangers[stream]
            known = 1
            self.known += known
            if message.get("msg") == COLLECTOR:
                who = f"collector of {message.get('az')}"
                yield from collector.live(stream, self.codec, self.rounds)
            elif arrival := self.codec.arrival(message):
                who = f"proxy {message.get('sidecar')}"
                yield from sidecar.live(stream, arrival, self.codec, self.rounds)
        except Ended as ended:
            self.log.say("door", f"{who} gone: {ended}")
        finally:
            self.known -= known
            self.strangers.pop(stream, None)
            stream.close()

    def _greet(self, stream: Stream) -> Generator[Wait, bool, dict]:
        """The first message that says who is there; pings are answered before it."""
        until = self.loop.now + STRANGER_MOST
        while True:
            message = parsed((yield from stream.line(until)))
            kind = message.get("msg")
            if kind == PING:
                stream.write(PONG)
                until = self.loop.now + STRANGER_MOST
            elif kind in (COLLECTOR, "joined"):
                return message
            else:
                raise Ended(Ending.UNREADABLE, f"{kind!r} from a stranger")
