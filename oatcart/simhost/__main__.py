"""Stdin loop of the adapter: one reply a batch, until the input ends."""

import sys

from oatcart.simhost.host import Host
from oatcart.simhost.wire import WireError, read_batch, write_reply


def main() -> int:
    """Serve batches until the input ends; a malformed one ends the process."""
    host = Host()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (batch := read_batch(source)) is not None:
            write_reply(sink, *host.answer(*batch))
    except WireError as error:
        print(f"oatcart.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
