"""Adds tracing to a controller on sockets. `python -m oatcart` does not import this module."""

import os
import signal
import time
from collections.abc import Callable

from oatcart.net.rounds import Rounds
from oatcart.settings import read_socket_controller_settings
from oatcart.trace.configuration import TraceSettings
from oatcart.trace.recorder import RoundRecorder, start_record
from oatcart.trace.writer import Writer

FLUSH_TIMEOUT = 1.0  # s to write the last records when the process is told to terminate
DEFAULT_INSTANCE = "conductor"  # used where the configuration has no name


def trace_controller(
    make_rounds: Callable[..., Rounds],
    configuration: dict,
    settings: TraceSettings,
    on_writer: Callable[[Writer], None],
) -> Callable[..., Rounds]:
    """Return a factory of rounds for `net.assembly.assemble` that records each round of the controller.

    `on_writer` is called with the writer, which the caller has to start.
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
    """Return a name with all characters replaced that a file name may not contain."""
    return "".join(character if character.isalnum() else "-" for character in name)


def _record_rounds(rounds: Rounds, writer: Writer, configuration: dict) -> None:
    """Put a recorder between the rounds and the controller when the rounds start; record endpoint ids."""
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
    """Handle SIGTERM and SIGINT from now on: write the last records, then exit.

    Writing takes FLUSH_TIMEOUT at most.
    """

    def flush_and_exit(*_: object) -> None:
        writer.stop(FLUSH_TIMEOUT)
        os._exit(0)

    for number in signal.SIGTERM, signal.SIGINT:
        signal.signal(number, flush_and_exit)
