"""`PYTHONPATH=tests python -m soak --seeds 1-50 [--at-once 3]`: play runs, print what went wrong in each."""

import argparse
import asyncio
import logging
import signal
import sys

from soak.plan import Act
from soak.run import Run, play


def seeds_of(text: str) -> list[int]:
    """Seeds as `3` or `1-50`."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def report(seed: int, run: Run) -> str:
    """A line on a run, and its faults."""
    acts = [action.act for action in run.plan.actions]
    ends = sum(act in (Act.TERMINATE, Act.HANGUP_AND_TERMINATE, Act.KILL) for act in acts)
    starts = sum(controller.incarnation for controller in run.controllers)
    joins = sum(sidecar.joins for sidecar in run.sidecars)
    streams = sum(client.connections for client in run.xds_clients)
    lines = [
        f"seed {seed}: {len(acts)} acts, {ends} ends drawn, {starts} starts, {joins} joins, "
        f"{streams} xDS streams, {run.crowded} in a crowd, {run.rules.checked} checks, "
        f"{'FAILED' if run.faults else 'kept'}"
    ]
    if run.faults:
        lines += [f"    {fault}" for fault in run.faults[:20]]
        lines.append(f"    again: PYTHONPATH=tests python -m soak --seeds {seed}")
    return "\n".join(lines)


async def main(seeds: list[int], at_once: int) -> int:
    """Play the seeds; the exit code says whether all kept the rules."""
    gate, failed = asyncio.Semaphore(at_once), 0
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)

    async def one(seed: int) -> None:
        nonlocal failed
        async with gate:
            run = await play(seed)
        failed += bool(run.faults)
        print(report(seed, run), flush=True)

    await asyncio.gather(*(one(seed) for seed in seeds))
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=seeds_of, required=True)
    parser.add_argument("--at-once", type=int, default=1)
    words = parser.parse_args()
    logging.getLogger("asyncio").setLevel(logging.ERROR)  # connections that are cut on purpose
    sys.exit(asyncio.run(main(words.seeds, words.at_once)))
