"""`python -m oatcart.trace.run deploy/trace.yaml`: a plain conductor, configured by `EDGE_CONFIG`, that
writes traces.
"""

import argparse
import sys

from oatcart.errors import InvalidConfigurationError
from oatcart.net.assembly import assemble
from oatcart.net.configuration import read_configuration
from oatcart.net.configuration_reload import reload_signal
from oatcart.net.rounds import Rounds
from oatcart.trace.configuration import Wrong
from oatcart.trace.configuration import read as read_tracing
from oatcart.trace.hook import end_with, traced

UNUSABLE = 2  # exit code where a configuration cannot be used


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="oatcart.trace.run", description=__doc__)
    parser.add_argument("file", help="where traces go, YAML")
    told = parser.parse_args(words)
    writers = []
    try:
        tracing, cfg = read_tracing(told.file), read_configuration()
        loop, rounds, _ = assemble(cfg, reload_signal(), traced(Rounds, cfg, tracing, writers.append))
    except (Wrong, InvalidConfigurationError) as error:
        print(error, file=sys.stderr)
        return UNUSABLE
    writers[0].start()
    end_with(writers[0])
    while True:
        loop.turn()
        rounds.run_if_due()


if __name__ == "__main__":
    sys.exit(main())
