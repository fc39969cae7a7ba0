"""A release: servers are replaced one after another; checks that proxies stop sending to each in time."""

import asyncio
import time

from world import SLACK_S, Proxy, World

ENDS_AFTER_S = 4.0  # from the listing as DRAINING until the process ends: longer than grace and slack
NOTICED_AFTER_S = 3.0  # from its end until the list shows it: the site file's [discovery] notice_s


class Release(World):
    """Checks each request that is sent against the time at which the drain of its server was told."""

    lost = 0  # requests that a server had taken in and did not answer

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

    def ended(self, proxy: Proxy, request: str, name: str, server: str, outcome: str) -> None:
        """Record how a request to a server that is not SERVING ended; count what was lost there."""
        if outcome in ("reset", "timeout"):
            self.lost += 1
        if self.servers[server].phase != "SERVING":
            self.record.write("request", f"{request} ({name}) by proxy {proxy.number} at {server}: {outcome}")

    async def replace_all(self, count: int, quick: int, quick_gap_s: float, gap_s: float) -> None:
        """Replace `count` servers; the first `quick` follow each other more quickly than the rest."""
        for number in range(count):
            self.spawn(self.replace(number))
            await asyncio.sleep(quick_gap_s if number < quick - 1 else gap_s)

    async def replace(self, number: int) -> None:
        """A new server is listed and an old one drains, in one change of the list; later the old one ends."""
        old = self.servers[f"s-{number:02}"]
        new = await self.new_server(f"r-{number:02}", old.zone, time.time() * 1000)
        await self.discovery.change((new, "SERVING"), (old, "DRAINING"))
        await asyncio.sleep(ENDS_AFTER_S)
        old.stop()
        await asyncio.sleep(NOTICED_AFTER_S)
        await self.discovery.change((old, "DELETED"))

    def conclude(self) -> None:
        """Record the counts of the case."""
        most = max(one.most_messages for one in self.proxies)
        self.record.write("messages", f"most in 10 s at one proxy: {most}")
        self.record.write("lost", f"{self.lost} requests were taken in by a server that did not answer")
        if self.crashed():
            self.violations.append(f"crashed: {self.crashed()}")
