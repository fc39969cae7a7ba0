"""Half of the servers are replaced in steps while the controllers are restarted one at a time."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from release import Release
from world import Controller, World, main

SERVERS, PROXIES, CONTROLLERS, RATE = 30, 16, 2, 19.0  # RATE: requests a second at each proxy
QUIET_S = 14.0  # ordinary traffic before the first restart
BETWEEN_S = 5.0  # between the restarts
STEPS_AFTER_S = 1.5  # from the last restart until the servers are replaced
REPLACED = 15  # of 30: half
QUICK, QUICK_GAP_S, GAP_S = 8, 0.21, 0.53  # the first 8 follow each other more quickly


async def restart(world: Release, controller: Controller) -> None:
    """Restart a controller as planned: SIGTERM, then a new start with the list as it last had it."""
    known = world.discovery.full_list()
    controller.signal(signal.SIGTERM)
    controller.answered_at = float("inf")
    await controller.process.wait()
    await controller.start(known)


async def play(world: Release, trouble: bool) -> None:
    """Run the case."""
    await world.start()
    await asyncio.sleep(QUIET_S)
    if trouble:
        await restart(world, world.controllers[0])
        await asyncio.sleep(BETWEEN_S)
        world.spawn(restart(world, world.controllers[1]))
        await asyncio.sleep(STEPS_AFTER_S)
        await world.replace_all(REPLACED, QUICK, QUICK_GAP_S, GAP_S)
    else:
        await asyncio.sleep(BETWEEN_S + STEPS_AFTER_S + 6.0)
    await asyncio.sleep(14.0)
    world.conclude()


def case(trouble: bool) -> tuple[World, object]:
    """Return the world and what is played in it."""
    world = Release(Path(__file__).with_name("record.txt"), SERVERS, PROXIES, CONTROLLERS, RATE, seed=2)
    return world, play(world, trouble)


if __name__ == "__main__":
    sys.exit(main(case))
