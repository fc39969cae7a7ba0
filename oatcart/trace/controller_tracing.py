"""Makes a controller on sockets write traces. `python -m oatcart` imports none of this."""

import os
import signal
import time
from collections.abc import Callable

from oatcart.net.rounds import Rounds
from oatcart.settings import read_socket_controller_settings
from oatcart.trace.configuration import TraceSettings
from oatcart.trace.recorder import RoundRecorder, start_record
from oatcart.trace.writer import Writer

FLUSH_TIMEOUT = 1.0  # s for the last records to be written when the process is told to end
DEFAULT_INSTANCE = "conductor"  # where the configuration has no name


def trace_controller(
    make_rounds: Callable[..., Rounds],
    configuration: dict,
    settings: TraceSettings,
    on_writer: Callable[[Writer], None],
) -> Callable[..., Rounds]:
    """A maker of rounds for `net.assembly.assemble` that records all calls of the decisions.

    `on_writer` gets the writer, which has to be started.
    """
    instance = _file_name(configuration.get("name") or DEFAULT_INSTANCE)

    def make_traced_rounds(*args: object) -> Rounds:
        rounds = make_rounds(*args)
        writer = Writer(
            settings.folder,
            instance,
            {"format": "oatcart"},
            lambda: rounds.loop.clock() + rounds.unix_offset,
            rounds.logger.write,
            settings.limits,
        )
        _record_rounds(rounds, writer, configuration)
        on_writer(writer)
        return rounds

    return make_traced_rounds


def _file_name(name: str) -> str:
    """A name with all that a file name may not hold replaced."""
    return "".join(character if character.isalnum() else "-" for character in name)


def _record_rounds(rounds: Rounds, writer: Writer, configuration: dict) -> None:
    """Put a recorder between the rounds and the decisions once these are known, and name the endpoints."""
    start = rounds.start

    def now() -> float:
        return rounds.loop.now + rounds.unix_offset

    def start_recorded(decide: Callable, watcher: object, prober: object) -> None:
        writer.start_records = [
            start_record(
                now(),
                writer.instance,
                int(configuration["seed"], 16),
                read_socket_controller_settings(configuration["settings"]),
                rounds.codec.request_class_names,
                list(rounds.codec.zones),
            )
        ]
        recorder = RoundRecorder(
            decide, writer.put, time.time, lambda events: rounds.events.extendleft(reversed(events))
        )
        number_of = rounds.codec.number_of

        def number_and_record_name(endpoint_id: str) -> int:
            number = number_of(endpoint_id)
            recorder.name_endpoint(now(), number, endpoint_id)
            return number

        rounds.codec.number_of = number_and_record_name
        start(recorder.round, watcher, prober)

    rounds.start = start_recorded


def flush_on_termination(writer: Writer) -> None:
    """From now on SIGTERM and SIGINT write the last records before the process ends.

    That takes FLUSH_TIMEOUT at most.
    """

    def flush_and_exit(*_: object) -> None:
        writer.stop(FLUSH_TIMEOUT)
        os._exit(0)

    for number in signal.SIGTERM, signal.SIGINT:
        signal.signal(number, flush_and_exit)
