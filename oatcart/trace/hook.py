"""A conductor with a tap: every round goes to a trace. Kept out of `run`, which imports none of this."""

import os
import signal
import time
from collections.abc import Callable

from oatcart.handover import socket_records
from oatcart.net.rounds import Rounds
from oatcart.trace.configuration import Tracing
from oatcart.trace.tap import Tap, start_record
from oatcart.trace.writer import Writer

END_WITHIN = 1.0  # s for the last records to be written when the process is told to end


def traced(
    make_rounds: Callable[..., Rounds], cfg: dict, tracing: Tracing, made: Callable[[Writer], None]
) -> Callable:
    """A maker of rounds, for `net.assembly.assemble`, whose module's calls are all noted, the first one too.
    `made` gets the writer, which has to be started."""
    instance = "".join(one if one.isalnum() else "-" for one in cfg.get("name") or "conductor")

    def make(*args: object) -> Rounds:
        rounds = make_rounds(*args)
        begin, settings = rounds.start, cfg["settings"]
        writer = Writer(
            tracing.folder,
            instance,
            {"format": "oatcart"},
            lambda: rounds.loop.clock() + rounds.unix_offset,
            rounds.logger.write,
            tracing.file_size,
            tracing.file_for,
            tracing.budget,
            tracing.room,
        )

        def start(call: Callable, watcher: object, prober: object) -> None:
            writer.starts = [
                start_record(
                    rounds.loop.now + rounds.unix_offset,
                    instance,
                    int(cfg["seed"], 16),
                    socket_records(settings),
                    {"kinds": rounds.codec.request_class_names, "zones": list(rounds.codec.zones)},
                )
            ]
            tap = Tap(call, writer.put, time.time, lambda rest: rounds.events.extendleft(reversed(rest)))
            place = rounds.codec.number_of

            def placed(node: str) -> int:
                number = place(node)
                tap.name(rounds.loop.now + rounds.unix_offset, number, node)
                return number

            rounds.codec.number_of = placed
            begin(tap.round, watcher, prober)

        rounds.start = start
        made(writer)
        return rounds

    return make


def end_with(writer: Writer) -> None:
    """From now on a signal to end has the last records written first, for a second at most."""

    def end(*_: object) -> None:
        writer.stop(END_WITHIN)
        os._exit(0)

    for sign in signal.SIGTERM, signal.SIGINT:
        signal.signal(sign, end)
