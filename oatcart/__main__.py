"""One real conductor: reads its configuration, then serves until it is told to end."""

import signal
import sys

signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))  # before the imports: an early end is no crash either
signal.signal(signal.SIGINT, lambda *_: sys.exit(0))

import json  # noqa: E402
import os  # noqa: E402
import time  # noqa: E402
import traceback  # noqa: E402

from oatcart.handover import seconds, start_records  # noqa: E402
from oatcart.net import codec as wire  # noqa: E402
from oatcart.net.conductor import Rounds  # noqa: E402
from oatcart.net.door import Door  # noqa: E402
from oatcart.net.ending import Ended  # noqa: E402
from oatcart.net.log import Log  # noqa: E402
from oatcart.net.loop import Loop  # noqa: E402
from oatcart.net.probe import Prober  # noqa: E402
from oatcart.net.roll import Watcher  # noqa: E402
from oatcart.policy import Conductor  # noqa: E402

UNUSABLE = 2  # exit code for a configuration that cannot be used
WATCH_PART = 0.5  # of the time without asking after which news counts as told: a lost watch is noticed in it


def read(cfg: dict, name: str, turn: type | object = str, default: object = None) -> object:
    """A field of the configuration, or an end that names it."""
    try:
        if name not in cfg and default is not None:
            return default
        return turn(cfg[name])
    except (KeyError, TypeError, ValueError, Ended) as error:
        sys.exit(unusable(name, error))


def unusable(what: str, error: Exception) -> int:
    print(f"config: {what} cannot be used: {error!r}", file=sys.stderr)
    return UNUSABLE


def main() -> int:
    path = os.environ.get("EDGE_CONFIG", "")
    try:
        with open(path, encoding="utf-8") as file:
            cfg = dict(json.load(file))
    except (OSError, TypeError, ValueError) as error:
        return unusable("EDGE_CONFIG", error)
    settings = read(cfg, "settings", dict)
    loop = Loop(time.monotonic, lambda error: log.say("task", "".join(traceback.format_exception(error))))
    log = Log(loop.clock)
    codec = wire.Codec([grade["name"] for grade in settings.get("grades") or []], settings.get("zones") or [],
                       (settings.get("specifics") or {}).get("proxyCount", 0))
    rounds = Rounds(loop, log, codec, seconds(settings, "quantum"), time.time())
    watcher = Watcher(loop, codec, log, read(cfg, "discovery", wire.address),
                      WATCH_PART * seconds(settings.get("rules") or {}, "askWithin", 10.0), rounds.arrive)
    reports = (settings.get("report") or {}).get("how", "off") != "off"
    prober = Prober(loop, wire.LOAD_PATH if reports else wire.HEALTH_PATH,
                    seconds(settings.get("policyLimits") or {}, "connectTimeout", 0.25), watcher.addresses,
                    rounds.arrive)
    module = Conductor(seed=read(cfg, "seed", lambda seed: int(seed, 16)), **start_records(settings))
    rounds.start(module.round, watcher, prober)
    if "known" in cfg:
        watcher.take(read(cfg, "known", codec.roll))
    rounds.turn()
    door = Door(loop, log, codec, rounds, read(cfg, "limits", lambda limits: int(limits["sockets"]), 1024))
    try:
        listener = door.listen(read(cfg, "listen", wire.address))
    except OSError as error:
        return unusable("listen", error)
    log.say("start", f"{cfg.get('name')} listens at {cfg['listen']}, {len(codec.nodes)} nodes known")
    with listener:
        while True:
            loop.turn()
            rounds.turn()


if __name__ == "__main__":
    sys.exit(main())
