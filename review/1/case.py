"""A release replaces servers one after another; proxies must stop sending to each within the grace."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from world import SLACK_S, Proxy, World, main

SERVERS, PROXIES, CONTROLLERS, RATE = 30, 16, 2, 5.0
QUIET_S = 22.0  # ordinary traffic before the release
REPLACED = 18  # of 30: six in ten
QUICK, QUICK_GAP_S, GAP_S = 9, 0.12, 0.65  # the first 9 follow each other quickly; all within 7 s
ENDS_AFTER_S = 4.0  # from the DRAINING entry until the process ends: longer than grace and slack


class Release(World):
    """Checks each request that is sent against the time at which the drain of its server was told."""

    def sent(self, proxy: Proxy, request: str, name: str, server: str) -> None:
        """Check a request that is sent."""
        if proxy.joined_at is None:
            return
        told = self.told.get((proxy.controller.name, server, "DRAINING"))
        if told is None:
            return
        now = self.record.now()
        start = max(told, proxy.joined_at, proxy.controller.answered_at + 1.0)
        if now > start + self.grace_s + SLACK_S:
            up = "draining" if self.servers[server].up else "ended"
            text = (
                f"request {request} ({name}) sent by proxy {proxy.number} to {server} ({up}) "
                f"{now - start:.2f} s after its drain was told"
            )
            self.violations.append(text)
            self.record.write("late", text)

    lost = 0  # requests that a server had taken in and did not answer

    def ended(self, proxy: Proxy, request: str, name: str, server: str, outcome: str) -> None:
        """Record how a request to a server that is not SERVING ended; count what was lost there."""
        if outcome in ("reset", "timeout"):
            self.lost += 1
        if self.servers[server].phase != "SERVING":
            self.record.write("request", f"{request} ({name}) by proxy {proxy.number} at {server}: {outcome}")


async def play(world: Release, trouble: bool) -> None:
    """Run the case."""
    await world.start()
    await asyncio.sleep(QUIET_S)
    if trouble:
        for number in range(REPLACED):
            world.spawn(replace(world, number))
            await asyncio.sleep(QUICK_GAP_S if number < QUICK - 1 else GAP_S)
    else:
        await asyncio.sleep(7.0)
    await asyncio.sleep(14.0)
    world.record.write(
        "messages", f"most in 10 s at one proxy: {max(one.most_messages for one in world.proxies)}"
    )
    world.record.write(
        "lost", f"{world.lost} requests were taken in by a server that ended before it answered"
    )
    if world.crashed():
        world.violations.append(f"crashed: {world.crashed()}")


async def replace(world: Release, number: int) -> None:
    """A new server is listed and an old one drains, in one change of the list; later the old one ends."""
    old = world.servers[f"s-{number:02}"]
    new = await world.new_server(f"r-{number:02}", old.zone, time.time() * 1000)
    await world.discovery.change((new, "SERVING"), (old, "DRAINING"))
    await asyncio.sleep(ENDS_AFTER_S)
    old.stop()
    await world.discovery.change((old, "DELETED"))


def case(trouble: bool) -> tuple[World, object]:
    """Return the world and what is played in it."""
    world = Release(Path(__file__).with_name("record.txt"), SERVERS, PROXIES, CONTROLLERS, RATE, seed=1)
    return world, play(world, trouble)


if __name__ == "__main__":
    sys.exit(main(case))
