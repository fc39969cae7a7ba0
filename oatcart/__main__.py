"""One real conductor: reads its configuration, then serves until it is told to end."""

import os
import signal

for _signal in signal.SIGTERM, signal.SIGINT:  # before the other imports: an early end is an orderly one too
    signal.signal(_signal, lambda *_: os._exit(0))  # at once: nothing here outlives the process
signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the configuration is read there is nothing to read again

import sys

from oatcart.errors import InvalidConfigurationError
from oatcart.net.configuration_reload import reload_signal
from oatcart.net.start import assemble, configuration, read

UNUSABLE = 2  # exit code where the configuration cannot be used


def main() -> int:
    woken = reload_signal()
    try:
        loop, rounds, _ = assemble(read(os.environ, "EDGE_CONFIG", configuration), woken)
    except InvalidConfigurationError as error:
        print(f"config: {error}", file=sys.stderr)
        return UNUSABLE
    while True:
        loop.turn()
        rounds.turn()


if __name__ == "__main__":
    sys.exit(main())
