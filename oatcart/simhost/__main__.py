"""Runs the adapter on standard input and output: one reply for each batch, until the input ends.

Exit code 0 at the end of the input, 2 after a malformed frame, with the reason on standard error.
"""

import sys

from oatcart.simhost.adapter import Adapter
from oatcart.simhost.frames import MalformedFrameError, read_batch, write_reply

MALFORMED_FRAME = 2  # exit code


def main() -> int:
    """Answer batches until the input ends; return the exit code."""
    adapter = Adapter()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (batch := read_batch(source)) is not None:
            write_reply(sink, adapter.answer(batch))
    except MalformedFrameError as error:
        print(f"oatcart.simhost: {error}", file=sys.stderr)
        return MALFORMED_FRAME
    return 0


if __name__ == "__main__":
    sys.exit(main())
