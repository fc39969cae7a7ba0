"""The counting relay of a played day: it also notes the content of what each controller was told, and cuts
controllers off.

Unlike the relay of a trial it notes every endpoint, and of every endpoint the fields that a change of the day
changes, so that each word to a controller can be matched to the one change that it tells of. A controller
that is cut off has its connections reset, and every new one too, until it is joined again.

The process (`python -m oatcart.scale.day_relay`) takes commands as in `children.py`.
"""

import asyncio
from collections.abc import Collection, Mapping
from typing import NamedTuple
from weakref import WeakSet

import orjson

from oatcart.scale.children import Child, answer_commands, ignore_interrupts
from oatcart.scale.discovery import DELETED
from oatcart.scale.view_relay import ControllerSide, RelayedClient, RelayService, ViewRelay


class EntryState(NamedTuple):
    """The fields of an endpoint's entry that the day changes."""

    phase: str
    address: str
    size: float
    up_since_ms: int


class ReceivedState(NamedTuple):
    """At a moment (monotonic seconds) a controller had this state of an endpoint; None: it left the list."""

    at: float
    endpoint: str
    state: EntryState | None


def entry_state(entry: Mapping) -> EntryState:
    """The state that an entry tells."""
    return EntryState(
        entry["phase"], entry.get("host_port", ""), entry.get("size", 0.0), entry.get("up_since_ms", 0)
    )


class DayClient(RelayedClient):
    """One controller and the states of the endpoints in its list."""

    def __init__(self, target_port: int) -> None:
        super().__init__(target_port)
        self.revision = 0
        self.states: dict[str, EntryState] = {}

    def record_answer(self, body: bytes, tracked: Collection[str]) -> list[tuple[str, EntryState | None]]:
        """The endpoints whose state differs from the last one sent, with it; all endpoints count as tracked.

        An answer that is older than the last one, as two connections overtake each other, tells nothing; a
        controller takes it so too.
        """
        try:
            answer = orjson.loads(body)
            states = {entry["id"]: entry_state(entry) for entry in answer["members"]}
            revision, complete = answer["revision"], answer["complete"]
        except (KeyError, TypeError, orjson.JSONDecodeError):
            return []
        if revision < self.revision:
            return []
        self.revision = revision
        gone = self.states.keys() - states.keys() if complete else set()
        gone |= {endpoint for endpoint, state in states.items() if state.phase == DELETED}
        listed = {endpoint: state for endpoint, state in states.items() if state.phase != DELETED}
        changed = [
            (endpoint, state) for endpoint, state in listed.items() if self.states.get(endpoint) != state
        ]
        self.states.update(listed)
        for endpoint in gone:  # some may be told gone that were never told: they came and went meanwhile
            self.states.pop(endpoint, None)
        self.members = set(self.states)
        return [*changed, *((endpoint, None) for endpoint in sorted(gone))]


class DayRelayService(RelayService):
    """All controllers behind the relay; `cut`, `join` and `views` are commands too."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.connections: WeakSet[ControllerSide] = WeakSet()
        self.cut_off: set[str] = set()

    def open_upstream(self, controller: ControllerSide) -> None:
        """Connects to what stands behind, unless the controller is cut off."""
        if any(self.clients[name] is controller.client for name in self.cut_off):
            controller.transport.abort()
            return
        self.connections.add(controller)
        super().open_upstream(controller)

    def cut(self, names: list[str]) -> dict:
        """Resets the connections of these controllers, and from now on every new one."""
        self.cut_off.update(names)
        clients = {id(self.clients[name]) for name in names}
        for connection in [*self.connections]:
            if id(connection.client) in clients:
                connection.transport.abort()
        return {}

    def join(self, names: list[str]) -> dict:
        """Lets these controllers connect again."""
        self.cut_off.difference_update(names)
        return {}

    def views(self) -> dict:
        """The list that each controller was told, and how many words were not yet asked on from."""
        pending = sum(len(connection.unacknowledged) for connection in self.connections)
        return {"views": {name: one.states for name, one in self.clients.items()}, "pending": pending}

    def _open(self, name: str, target_port: int) -> int:
        self.clients.setdefault(name, DayClient(target_port))
        return super()._open(name, target_port)


class ReceivedViews(NamedTuple):
    """The list that each controller was told, by its name; `pending` words were not yet asked on from."""

    views: dict[str, dict[str, EntryState]]
    pending: int


class DayRelay(ViewRelay):
    """The parent's side of the process."""

    def __init__(self) -> None:
        Child.__init__(self, "oatcart.scale.day_relay")

    def cut(self, names: Collection[str]) -> None:
        """Cuts these controllers off from their list."""
        self.ask("cut", names=list(names))

    def join(self, names: Collection[str]) -> None:
        """Ends a cut."""
        self.ask("join", names=list(names))

    def views(self) -> ReceivedViews:
        """The list that each controller was told."""
        answer = self.ask("views")
        views = {
            name: {endpoint: EntryState(*state) for endpoint, state in states.items()}
            for name, states in answer["views"].items()
        }
        return ReceivedViews(views, answer["pending"])

    def received_states(self) -> dict[str, list[ReceivedState]]:
        """All that each controller was told since its start, in order of time."""
        clients = self.ask("held")["told"]
        return {
            name: [
                ReceivedState(at, endpoint, state and EntryState(*state)) for at, (endpoint, state) in records
            ]
            for name, records in clients.items()
        }


async def serve() -> None:
    """The life of the process: until its input ends."""
    service = DayRelayService(asyncio.get_running_loop())
    commands = "open", "members", "figures", "held", "cut", "join", "views"
    await answer_commands({name: getattr(service, name) for name in commands})


if __name__ == "__main__":
    ignore_interrupts()
    asyncio.run(serve())
