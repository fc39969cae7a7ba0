"""Run a controller on sockets that writes traces: `python -m oatcart.trace.run deploy/trace.yaml`.

The controller is configured by `EDGE_CONFIG`, as with `python -m oatcart`.
"""

import argparse
import sys

from oatcart.errors import InvalidConfigurationError
from oatcart.net.assembly import assemble
from oatcart.net.configuration import read_configuration
from oatcart.net.configuration_reload import reload_signal
from oatcart.net.rounds import Rounds
from oatcart.trace.configuration import read as read_settings
from oatcart.trace.controller_tracing import flush_on_termination, trace_controller

INVALID_CONFIGURATION = 2  # exit code


def main(arguments: list[str] | None = None) -> int:
    """Run until the process is terminated; return an exit code if a configuration is invalid."""
    parser = argparse.ArgumentParser(prog="oatcart.trace.run", description=__doc__)
    parser.add_argument("file", help="settings file of traces, YAML")
    args = parser.parse_args(arguments)
    writers = []
    try:
        settings = read_settings(args.file)
        controller_configuration = read_configuration()
        make_rounds = trace_controller(Rounds, controller_configuration, settings, writers.append)
        loop, rounds, _ = assemble(controller_configuration, reload_signal(), make_rounds)
    except InvalidConfigurationError as error:
        print(error, file=sys.stderr)
        return INVALID_CONFIGURATION
    (writer,) = writers
    writer.start()
    flush_on_termination(writer)
    while True:
        loop.turn()
        rounds.run_if_due()


if __name__ == "__main__":
    sys.exit(main())
