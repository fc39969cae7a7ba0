"""`python -m oatcart.trace.run deploy/trace.yaml`: a controller on sockets that writes traces.

The controller is configured by `EDGE_CONFIG`, as with `python -m oatcart`.
"""

import argparse
import os
import sys

from oatcart.net.conductor import Rounds
from oatcart.net.reload import Unusable, wake_pair
from oatcart.net.start import assemble, configuration, read
from oatcart.trace.configuration import InvalidConfigurationError
from oatcart.trace.configuration import read as read_settings
from oatcart.trace.controller_tracing import flush_on_termination, trace_controller

INVALID_CONFIGURATION = 2  # exit code


def main(arguments: list[str] | None = None) -> int:
    """Run until the process is told to end; returns an exit code where a configuration is invalid."""
    parser = argparse.ArgumentParser(prog="oatcart.trace.run", description=__doc__)
    parser.add_argument("file", help="where traces go, YAML")
    args = parser.parse_args(arguments)
    writers = []
    try:
        settings = read_settings(args.file)
        controller_configuration = read(os.environ, "EDGE_CONFIG", configuration)
        make_rounds = trace_controller(Rounds, controller_configuration, settings, writers.append)
        loop, rounds, _ = assemble(controller_configuration, wake_pair(), make_rounds)
    except (InvalidConfigurationError, Unusable) as error:
        print(error, file=sys.stderr)
        return INVALID_CONFIGURATION
    (writer,) = writers
    writer.start()
    flush_on_termination(writer)
    while True:
        loop.turn()
        rounds.turn()


if __name__ == "__main__":
    sys.exit(main())
