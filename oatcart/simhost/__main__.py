"""Stdin loop of the adapter: one reply a batch, until the input ends."""

import sys

from oatcart.simhost.adapter import Adapter
from oatcart.simhost.frames import MalformedFrameError, read_batch, write_reply


def main() -> int:
    """Serve batches until the input ends; a malformed one ends the process."""
    adapter = Adapter()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (batch := read_batch(source)) is not None:
            write_reply(sink, *adapter.answer(*batch))
    except MalformedFrameError as error:
        print(f"oatcart.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
