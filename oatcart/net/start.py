"""A conductor's parts, made from its configuration; the processes that run one differ only in their loops."""

import json
import os
import socket
import time
import traceback
from collections.abc import Callable, Mapping

from oatcart.net import codec as wire
from oatcart.net.acceptor import Acceptor
from oatcart.net.conductor import Rounds
from oatcart.net.ending import Ended
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.probe import Prober
from oatcart.net.reload import Unusable, reloads
from oatcart.net.roll import Watcher
from oatcart.policy import Controller
from oatcart.settings import read_seconds, read_socket_controller_settings

ITS_OWN = "name", "listen"  # a file in which these differ is another conductor's
AT_START = ("settings",)  # what is taken from the configuration once
# Raised over what cannot be used; nesting without end is one more kind of that
_UNFIT = ArithmeticError, AttributeError, LookupError, TypeError, ValueError, RecursionError, Ended, OSError
# of the time without a call after which news counts as told: a lost watch shows well within it
WATCH_PART = 0.5
# s without a call where the settings tell none: half of it and 2 s more are the protocol's 6
UNASKED_MOST = 8.0
# s for a probe where the settings tell no time for a connection: the next one comes a second later
PROBE_MOST = 1.0


def read(cfg: Mapping, name: str, turn: Callable) -> object:
    try:
        return turn(cfg[name])
    except _UNFIT as error:
        raise Unusable(f"{name} cannot be used: {error!r}") from None


def configuration(path: str) -> dict:
    with open(path, encoding="utf-8") as file:
        return dict(json.load(file))


def descriptors(limits: Mapping) -> int:
    return int(limits["sockets"])


def assemble(
    cfg: dict, woken: socket.socket, make_rounds: Callable[..., Rounds] = Rounds
) -> tuple[Loop, Rounds, Acceptor]:
    """All parts, each with its own few settings; the module has had its first round when this returns.
    Whoever has another front beside the sidecars' hands in a kind of `Rounds` that serves it too."""
    settings = read(cfg, "settings", dict)
    records = read(cfg, "settings", read_socket_controller_settings)
    loop = Loop(time.monotonic, lambda error: log.say("task", "".join(traceback.format_exception(error))))
    log = Log(loop.clock)
    codec = read(
        cfg,
        "settings",
        lambda told: wire.Codec(
            [grade["name"] for grade in told["grades"]], told["zones"], told["specifics"]["proxyCount"]
        ),
    )
    rounds = make_rounds(loop, log, codec, read_seconds(settings, "quantum"), time.time())
    allowed, reports = settings.get("policyLimits") or {}, settings.get("report") or {}
    watcher = Watcher(
        loop,
        codec,
        log,
        read(cfg, "discovery", wire.address),
        WATCH_PART * read_seconds(settings.get("rules") or {}, "askWithin", UNASKED_MOST),
        rounds.arrive,
    )
    prober = Prober(
        loop,
        reports.get("how", "off") != "off",
        read_seconds(allowed, "connectTimeout", PROBE_MOST),
        watcher.addresses,
        rounds.arrive,
    )
    seed = read(cfg, "seed", lambda text: int(text, 16))
    rounds.start(Controller(records, seed).round, watcher, prober)
    acceptor = Acceptor(loop, log, codec, rounds, read(cfg, "limits", descriptors))
    if "known" in cfg:
        watcher.take(read(cfg, "known", codec.roll))
    rounds.due = True  # also with no list at hand: the first round is what asks discovery for one
    rounds.turn()  # from here on it can decide, so whoever asks may be answered
    listener = read(cfg, "listen", lambda address: acceptor.listen(wire.address(address)))
    log.say(
        "start",
        "{} listens at {}:{}, {} nodes known".format(
            cfg.get("name"), *listener.getsockname(), len(codec.nodes)
        ),
    )

    def take() -> str:
        """What a running conductor takes from a new configuration; nothing of it unless all can be used."""
        new = read(os.environ, "EDGE_CONFIG", configuration)
        for field in ITS_OWN:
            if new.get(field) != cfg.get(field):
                raise Unusable(f"{field} cannot be used: {new.get(field)!r} is not this conductor's")
        discovery, most = read(new, "discovery", wire.address), read(new, "limits", descriptors)
        acceptor.limit(most)
        watcher.move(discovery)
        kept = [name for name in AT_START if new.get(name) != cfg.get(name)]
        return "discovery at {}:{}, {} descriptors{}".format(
            *discovery, most, f"; only a restart changes {', '.join(kept)}" if kept else ""
        )

    loop.spawn(reloads(loop, log, woken, take))
    return loop, rounds, acceptor
