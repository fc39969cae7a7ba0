"""A reset of the watch on the list while the complete list is fetched: the watch must be opened again."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))

import fleet as stand_ins

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KINDS = {"list-lookup": 0.54, "slot-update": 0.26, "fee-charge": 0.20}
ZONES = ["ikeja", "yaba", "apapa", "lekki"]
ENDPOINTS, PROXIES, RATE = 20, 16, 6.0
LIST_CALL_S = 0.4  # how long discovery takes to answer a call for the complete list
RESET_AFTER_S = 0.3  # from the start of the first such call to the reset of the watch's connection
DRAINED = 4  # number of the endpoint
ASK_WITHIN_S, GRACE_S, SLACK_S = 10.0, 3.4, 0.3  # askWithin, stopSendingWithin, PROTOCOL.md: "300 ms longer"
SEEN_FOR_S = 26.0  # after the change of the list


class Case:
    """Two controllers, 16 proxies and 20 endpoints; one connection is reset."""

    def make(self) -> stand_ins.Fleet:
        """Create the stand-ins."""
        return stand_ins.Fleet(RECORD, KINDS, ZONES)

    async def run(self, fleet: stand_ins.Fleet) -> int:
        """Play the case and return its verdict."""
        record = fleet.record
        record.write("case", f"{TROUBLE=}")
        discovery = stand_ins.Discovery(record, LIST_CALL_S)
        await fleet.start_endpoints(discovery, ENDPOINTS)
        for number in range(2):
            await fleet.start_controller(discovery, stand_ins.lagos_settings(), number)
        if TROUBLE:
            discovery.on_list_call = lambda who: self._on_list_call(discovery, who)
        fleet.start_proxies(discovery, PROXIES, RATE)
        while discovery.lists_begun.get("n0", 0) < 2:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)
        drained = fleet.endpoints[f"s-{DRAINED:02}"]
        revision = discovery.set_member(drained.member(ZONES[DRAINED % 4], "DRAINING"))
        listed_at = record.now()
        await asyncio.sleep(SEEN_FOR_S)
        broken = False
        for at, controller in enumerate(fleet.controllers):
            told_at = discovery.told_at(controller.name, revision, listed_at, ASK_WITHIN_S, record.now())
            limit = told_at + GRACE_S + SLACK_S
            late = [when for when, proxy in drained.requests if proxy % 2 == at and when > limit]
            broken = broken or bool(late)
            text = (
                f"{drained.name} was listed as draining at {listed_at:.1f}, told to {controller.name} "
                f"(or counts as told) at {told_at:.1f}; its proxies had to stop by {limit:.1f}, "
                f"and sent {len(late)} requests later"
            )
            if late:
                text += f", the last at {late[-1]:.1f}"
            record.write("verdict", text)
            print(text)
        return stand_ins.BROKEN if broken else stand_ins.HELD

    def _on_list_call(self, discovery: stand_ins.Discovery, who: str) -> None:
        if who == "n0" and discovery.lists_begun[who] == 1:
            asyncio.get_running_loop().call_later(RESET_AFTER_S, discovery.reset_watch, who)


stand_ins.play(Case())
