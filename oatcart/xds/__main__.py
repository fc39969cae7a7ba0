"""`python -m oatcart.xds deploy/xds.yaml`: a controller, configured by `EDGE_CONFIG`, with the xDS front."""

import os
import signal

for _signal in signal.SIGTERM, signal.SIGINT:  # as in `oatcart.__main__`
    signal.signal(_signal, lambda *_: os._exit(0))
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import argparse
import asyncio
import sys

from oatcart.errors import InvalidConfigurationError
from oatcart.net.configuration import read_configuration
from oatcart.xds.configuration import capacity_warning
from oatcart.xds.configuration import read as read_xds
from oatcart.xds.serve import EXIT_INVALID_CONFIGURATION, run


def main(arguments: list[str] | None = None) -> int:
    """Run the controller; returns an exit code."""
    parser = argparse.ArgumentParser(prog="oatcart.xds", description=__doc__)
    parser.add_argument("file", help="settings of the xDS front, YAML")
    parser.add_argument("--check", action="store_true", help="check the files and exit")
    parser.add_argument("--trace", metavar="FILE", help="write traces by the settings in this file, YAML")
    options = parser.parse_args(arguments)
    try:
        xds = read_xds(options.file)
        cfg = read_configuration()
        if options.trace:
            from oatcart.trace import configuration as tracing
            from oatcart.trace import controller_tracing

            trace_settings = tracing.read(options.trace)
    except InvalidConfigurationError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    if options.check:
        if warning := capacity_warning(xds):
            print(f"{options.file}: {warning}", file=sys.stderr)
        print(f"{options.file} can be used")
        return 0
    if not options.trace:
        return asyncio.run(run(cfg, xds))

    def on_writer(writer: controller_tracing.Writer) -> None:
        writer.start()
        controller_tracing.flush_on_termination(writer)

    return asyncio.run(
        run(cfg, xds, lambda make: controller_tracing.trace_controller(make, cfg, trace_settings, on_writer))
    )


if __name__ == "__main__":
    sys.exit(main())
