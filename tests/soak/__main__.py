"""`PYTHONPATH=tests python -m soak --seeds 1-50 [--at-once 3]`: run seeds, print the failures of each."""

import argparse
import asyncio
import logging
import signal
import sys

from soak.plan import ActionType
from soak.run import Run, run_seed


def parse_seeds(text: str) -> list[int]:
    """Parse seeds given as `3` or `1-50`."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def summarize(seed: int, run: Run) -> str:
    """Return a line of figures of a run, its first failures and the command that reproduces it."""
    action_types = [action.action_type for action in run.plan.actions]
    endings = sum(
        action_type in (ActionType.TERMINATE, ActionType.SIGHUP_AND_TERMINATE, ActionType.KILL)
        for action_type in action_types
    )
    starts = sum(controller.incarnation for controller in run.controllers)
    joins = sum(proxy.joins for proxy in run.proxies)
    streams = sum(client.connections for client in run.xds_clients)
    lines = [
        f"seed {seed}: {len(action_types)} actions, {endings} endings, {starts} starts, {joins} joins, "
        f"{streams} xDS streams, {run.flood_size} flood connections, {run.rules.checked} checks, "
        f"{'FAILED' if run.failures else 'passed'}"
    ]
    if run.failures:
        lines += [f"    {failure}" for failure in run.failures[:20]]
        lines.append(f"    reproduce: PYTHONPATH=tests python -m soak --seeds {seed}")
    return "\n".join(lines)


async def main(seeds: list[int], at_once: int) -> int:
    """Run the seeds, up to `at_once` at a time; return exit code 1 if any failed."""
    semaphore, failed = asyncio.Semaphore(at_once), 0
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)

    async def run_one(seed: int) -> None:
        nonlocal failed
        async with semaphore:
            run = await run_seed(seed)
        failed += bool(run.failures)
        print(summarize(seed, run), flush=True)

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, required=True)
    parser.add_argument("--at-once", type=int, default=1)
    options = parser.parse_args()
    # Hides warnings about connections that are cut on purpose.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    sys.exit(asyncio.run(main(options.seeds, options.at_once)))
