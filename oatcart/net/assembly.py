"""Assembles a controller on sockets from its configuration."""

import socket
import time
import traceback
from collections.abc import Callable, Mapping
from typing import NamedTuple

from oatcart.errors import InvalidConfigurationError
from oatcart.net.acceptor import Acceptor
from oatcart.net.codec import Codec, parse_address
from oatcart.net.configuration import read_configuration, read_descriptors, read_field
from oatcart.net.configuration_reload import reload_on_signal
from oatcart.net.endpoint_list import EndpointListWatcher
from oatcart.net.health_checks import HealthChecker
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.rounds import Rounds
from oatcart.policy import Controller
from oatcart.settings import read_seconds, read_socket_controller_settings

IDENTITY_FIELDS = ("name", "listen")  # a file in which these differ belongs to another controller
RESTART_FIELDS = ("settings",)  # changed only by a restart
# A watch waits for this fraction of the time within which discovery must be polled (`askWithin`), so that a
# lost watch is detected well within that time
WATCH_WAIT_FRACTION = 0.5
DEFAULT_POLL_WITHIN_S = 8.0  # default of `askWithin`: half of it and 2 s are the protocol's 6 s
DEFAULT_HEALTH_CHECK_TIMEOUT_S = 1.0  # default of `connectTimeout`: the next check comes a second later


class Assembly(NamedTuple):
    """A listening controller; its owner calls `loop.turn` and `rounds.run_if_due` alternately."""

    loop: Loop
    rounds: Rounds
    acceptor: Acceptor


def assemble(
    configuration: dict, signalled: socket.socket, make_rounds: Callable[..., Rounds] = Rounds
) -> Assembly:
    """Create all parts, run the first round and start listening; raises InvalidConfigurationError.

    `signalled`: readable when the configuration is to be reloaded. `make_rounds`: creates a subclass of
    `Rounds` if another protocol is served as well.
    """
    settings = read_field(configuration, "settings", dict)
    controller_settings = read_field(configuration, "settings", read_socket_controller_settings)
    loop = Loop(time.monotonic, lambda error: log.write("task", "".join(traceback.format_exception(error))))
    log = Log(loop.clock)
    codec = read_field(configuration, "settings", _make_codec)
    rounds = make_rounds(loop, log, codec, read_seconds(settings, "quantum"), time.time())
    watcher = _make_watcher(configuration, settings, rounds)
    health_checker = _make_health_checker(settings, watcher, rounds)
    seed = read_field(configuration, "seed", lambda text: int(text, 16))
    rounds.start(Controller(controller_settings, seed).round, watcher, health_checker)
    acceptor = Acceptor(loop, log, codec, rounds, read_descriptors(configuration))
    if "known" in configuration:
        watcher.receive(read_field(configuration, "known", codec.decode_endpoint_list))
    rounds.is_due = True  # also without a list: this round requests one from discovery
    rounds.run_if_due()  # from here on the controller can decide, so it may accept connections
    listener = read_field(configuration, "listen", lambda at: acceptor.listen(parse_address(at)))
    host, port = listener.getsockname()
    name, known = configuration.get("name"), len(codec.endpoint_ids)
    log.write("start", f"{name} listens at {host}:{port}, {known} endpoints known")
    loop.spawn(
        reload_on_signal(loop, log, signalled, lambda: apply_changes(configuration, acceptor, watcher))
    )
    return Assembly(loop, rounds, acceptor)


def apply_changes(configuration: Mapping, acceptor: Acceptor, watcher: EndpointListWatcher) -> str:
    """Reload the file and apply what a running controller can change; returns the text to log.

    `configuration` is the one at the start. Raises InvalidConfigurationError and changes nothing if a field
    is invalid or the file belongs to another controller.
    """
    new = read_configuration()
    for field in IDENTITY_FIELDS:
        if new.get(field) != configuration.get(field):
            raise InvalidConfigurationError.of_field(field, f"{new.get(field)!r} is not this controller's")
    discovery, descriptors = read_field(new, "discovery", parse_address), read_descriptors(new)
    acceptor.set_limit(descriptors)
    watcher.set_discovery(discovery)
    unchanged = [field for field in RESTART_FIELDS if new.get(field) != configuration.get(field)]
    restart = f"; only a restart changes {', '.join(unchanged)}" if unchanged else ""
    host, port = discovery
    return f"discovery at {host}:{port}, {descriptors} descriptors{restart}"


def _make_codec(settings: Mapping) -> Codec:
    request_classes = [request_class["name"] for request_class in settings["grades"]]
    return Codec(request_classes, settings["zones"], settings["specifics"]["proxyCount"])


def _make_watcher(configuration: Mapping, settings: Mapping, rounds: Rounds) -> EndpointListWatcher:
    poll_within = read_seconds(settings.get("rules") or {}, "askWithin", DEFAULT_POLL_WITHIN_S)
    discovery = read_field(configuration, "discovery", parse_address)
    return EndpointListWatcher(
        rounds.loop,
        rounds.codec,
        rounds.logger,
        discovery,
        WATCH_WAIT_FRACTION * poll_within,
        rounds.add_event,
    )


def _make_health_checker(settings: Mapping, watcher: EndpointListWatcher, rounds: Rounds) -> HealthChecker:
    limits, reports = settings.get("policyLimits") or {}, settings.get("report") or {}
    return HealthChecker(
        rounds.loop,
        reports.get("how", "off") != "off",
        read_seconds(limits, "connectTimeout", DEFAULT_HEALTH_CHECK_TIMEOUT_S),
        watcher.addresses,
        rounds.add_event,
    )
