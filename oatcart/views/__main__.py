"""`python -m oatcart.views deploy/views.yaml`: the control role, which serves each controller a bounded view
of the fleet.

Exit codes: 0 after SIGTERM or SIGINT, 2 if the file is invalid or listening at an address fails.
"""

# ruff: noqa: E402 - signals are set before the imports that take time

import os
import signal

for _signal in signal.SIGTERM, signal.SIGINT:  # as in `oatcart.__main__`
    signal.signal(_signal, lambda *_: os._exit(0))
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import argparse
import sys
import time
import traceback

from oatcart.errors import InvalidConfigurationError
from oatcart.net.configuration_reload import reload_on_signal, reload_signal
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.views.configuration import Configuration
from oatcart.views.configuration_file import read
from oatcart.views.descriptors import check_descriptors
from oatcart.views.role import ControlRole

EXIT_INVALID = 2


def assemble(configuration: Configuration) -> ControlRole:
    """Creates a control role with an event loop of its own. It logs to standard error."""
    loop = Loop(time.monotonic, lambda error: log.write("task", "".join(traceback.format_exception(error))))
    log = Log(loop.clock)
    return ControlRole(configuration, loop, log)


def main(argv: list[str] | None = None) -> int:
    """Runs the command with these arguments, by default those of the process; returns the exit code."""
    parser = argparse.ArgumentParser(prog="oatcart.views", description=__doc__)
    parser.add_argument("file", help="the control role's settings, YAML")
    parser.add_argument("--check", action="store_true", help="read and check the file, start nothing")
    arguments = parser.parse_args(argv)
    wake_receiver = reload_signal()
    try:
        configuration = read(arguments.file)
        check_descriptors(configuration)
        if arguments.check:
            print(f"{arguments.file} can be used: {len(configuration.controllers)} controllers")
            return 0
        role = assemble(configuration)
        role.start()
    except (InvalidConfigurationError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    role.loop.spawn(reload_on_signal(role.loop, role.log, wake_receiver, lambda: role.reload(arguments.file)))
    while True:
        role.turn()


if __name__ == "__main__":
    sys.exit(main())
