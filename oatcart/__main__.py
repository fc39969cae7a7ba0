"""`python -m oatcart` runs a controller on sockets; EDGE_CONFIG names its configuration file.

Exit codes: 0 after SIGTERM or SIGINT, 2 if the configuration is invalid. SIGHUP reloads the configuration.
"""

import os
import signal

# Set before the other imports, which take time, so that a signal during the start also ends the process with
# code 0. The process keeps no state that needs saving, so it exits at once.
for _signal in signal.SIGTERM, signal.SIGINT:
    signal.signal(_signal, lambda *_: os._exit(0))
signal.signal(signal.SIGHUP, signal.SIG_IGN)  # ignored until the configuration has been read

import sys

from oatcart.errors import InvalidConfigurationError
from oatcart.net.assembly import assemble
from oatcart.net.configuration import read_configuration
from oatcart.net.configuration_reload import reload_signal

EXIT_INVALID_CONFIGURATION = 2


def main() -> int:
    """Run the controller until a signal ends the process.

    Returns only if the configuration is invalid, with the exit code.
    """
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
