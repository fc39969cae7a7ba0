"""The conductor's address: who connects is a stranger until a first message says who it is."""

import errno
import socket
from collections.abc import Generator

from oatcart.net import collector, sidecar, talk
from oatcart.net.codec import Codec, Odd
from oatcart.net.conductor import Rounds
from oatcart.net.ending import Ended, Ending, ended_by
from oatcart.net.log import Log
from oatcart.net.loop import IN, Loop, Task, Wait
from oatcart.net.stream import Address, Stream

STRANGER_MOST = 10.0  # s until a stranger has said who it is; a proxy does so with its first bytes
KEPT_BACK = 96  # descriptors for discovery, probes, the loop and the log
BACKLOG = 1024  # connections not yet accepted: a whole fleet may dial at once
NO_ROOM_WAIT = 0.2  # s without accepting where there is no room; far within a proxy's redial


class Door:
    def __init__(self, loop: Loop, log: Log, codec: Codec, rounds: Rounds, descriptors: int) -> None:
        self.loop, self.log, self.codec, self.rounds = loop, log, codec, rounds
        self.limit(descriptors)
        self.lives: dict[Stream, Task] = {}  # of all connections, oldest first
        self.collectors: set[Stream] = set()

    def limit(self, descriptors: int) -> None:
        self.most = max(1, descriptors - KEPT_BACK)

    def listen(self, address: Address) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        self.loop.spawn(self._accept(sock))
        return sock

    def _accept(self, listener: socket.socket) -> Generator[Wait, bool, None]:
        while True:
            yield Wait(listener.fileno(), IN)
            try:
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno != errno.ECONNABORTED:
                    self.log.say("door", f"cannot accept: {ended_by(error)}")
                    yield Wait(until=self.loop.now + NO_ROOM_WAIT)
                continue
            stream = Stream(self.loop, sock)
            self.lives[stream] = self.loop.spawn(self._life(stream))
            if len(self.lives) >= self.most:
                self.log.say("door", f"a stranger gone: {Ended(Ending.CROWDED)}")
                self.loop.end(self.lives[self._least_needed()])

    def _least_needed(self) -> Stream:
        """The oldest connection of a stranger, or of a proxy that has a newer one; at worst the newest of all."""
        used = {*self.collectors, *self.rounds.streams.values()}
        return next(stream for stream in self.lives if stream not in used)

    def _life(self, stream: Stream) -> Generator[Wait, bool, None]:
        """The life of a connection, whoever is at its other end."""
        who = "a stranger"
        try:
            told = yield from talk.arrival(stream, self.codec, self._refuse, STRANGER_MOST)
            if told[0] == "collector":
                self.collectors.add(stream)
                who = f"collector of {told[1]}"
                yield from collector.live(stream, self.codec, self.rounds, self._skipped)
            elif told[0] == "joined":
                who = f"proxy {told[1]}"
                yield from sidecar.live(stream, told, self.codec, self.rounds, self._skipped)
            else:
                self._refuse(Odd(f"{told[0]!r} is no first message"))
        except Ended as ended:
            self.log.say("door", f"{who} gone: {ended}")
        finally:
            self.collectors.discard(stream)
            self.lives.pop(stream, None)
            stream.close()

    def _refuse(self, odd: Odd) -> None:
        """Who cannot say who it is has no use here."""
        raise Ended(Ending.UNREADABLE, str(odd))

    def _skipped(self, odd: Odd) -> None:
        """A stream that we end leaves its proxy without orders until it has dialled again; so it goes on."""
        self.log.say("odd", str(odd))
