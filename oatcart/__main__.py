"""`python -m oatcart`: a controller on sockets, configured by the file that EDGE_CONFIG names.

Exit codes: 0 when SIGTERM or SIGINT ends it, 2 if the configuration is invalid. SIGHUP reads it again.
"""

import os
import signal

# Set before the other imports, which take time: an early signal ends an orderly start as well. Nothing here
# outlives the process, so it ends at once.
for _signal in signal.SIGTERM, signal.SIGINT:
    signal.signal(_signal, lambda *_: os._exit(0))
signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the configuration has been read there is no reload

import sys

from oatcart.errors import InvalidConfigurationError
from oatcart.net.assembly import assemble
from oatcart.net.configuration import read_configuration
from oatcart.net.configuration_reload import reload_signal

EXIT_INVALID_CONFIGURATION = 2


def main() -> int:
    """Serve until a signal ends the process; returns the exit code of an invalid configuration."""
    signalled = reload_signal()
    try:
        controller = assemble(read_configuration(), signalled)
    except InvalidConfigurationError as error:
        print(f"config: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    while True:
        controller.loop.turn()
        controller.rounds.run_if_due()


if __name__ == "__main__":
    sys.exit(main())
