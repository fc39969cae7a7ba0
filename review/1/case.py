"""A release replaces servers one after another; proxies must stop sending to each within the grace."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from release import Release
from world import World, main

SERVERS, PROXIES, CONTROLLERS, RATE = 30, 16, 2, 2.0  # RATE: requests a second at each proxy
QUIET_S = 22.0  # ordinary traffic before the release
REPLACED = 18  # of 30: six in ten
QUICK, QUICK_GAP_S, GAP_S = 9, 0.21, 0.53  # the first 9 follow each other quickly; all within 7 s


async def play(world: Release, trouble: bool) -> None:
    """Run the case."""
    await world.start()
    await asyncio.sleep(QUIET_S)
    if trouble:
        await world.replace_all(REPLACED, QUICK, QUICK_GAP_S, GAP_S)
    else:
        await asyncio.sleep(7.0)
    await asyncio.sleep(14.0)
    world.conclude()


def case(trouble: bool) -> tuple[World, object]:
    """Return the world and what is played in it."""
    world = Release(Path(__file__).with_name("record.txt"), SERVERS, PROXIES, CONTROLLERS, RATE, seed=1)
    return world, play(world, trouble)


if __name__ == "__main__":
    sys.exit(main(case))
