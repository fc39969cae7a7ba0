"""The counting relay of a played day, which also records the endpoint states sent and cuts controllers off.

Unlike the relay of a trial it records every endpoint, with the fields that the changes of the day set, so
that each state that a controller received can be matched to the one change that set it. The connections of a
controller that is cut off are reset, and so is each new one until the cut ends.

The process (`python -m oatcart.scale.day_relay`) takes commands as described in `children.py`.
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
    """The fields of an endpoint's entry that the changes of a day set."""

    phase: str
    address: str
    size: float
    up_since_ms: int


class ReceivedState(NamedTuple):
    """The state of an endpoint that a controller received, and when (monotonic seconds).

    `state` is None if the endpoint left the controller's list.
    """

    at: float
    endpoint: str
    state: EntryState | None


def entry_state(entry: Mapping) -> EntryState:
    """Returns the state of an endpoint from its entry."""
    return EntryState(
        entry["phase"], entry.get("host_port", ""), entry.get("size", 0.0), entry.get("up_since_ms", 0)
    )


class DayClient(RelayedClient):
    """A controller behind the relay, with the states of the endpoints in its list."""

    def __init__(self, target_port: int) -> None:
        super().__init__(target_port)
        self.revision = 0
        self.states: dict[str, EntryState] = {}

    def record_answer(self, body: bytes, tracked: Collection[str]) -> list[tuple[str, EntryState | None]]:
        """Records an answer and returns the endpoints whose state it changes, with the new state.

        All endpoints are tracked; `tracked` is ignored. An answer with an older revision than the last
        one, which overtook it on another connection, is ignored, as controllers do.
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
        # An endpoint that was added and removed between two answers was never in the states.
        for endpoint in gone:
            self.states.pop(endpoint, None)
        self.members = set(self.states)
        return [*changed, *((endpoint, None) for endpoint in sorted(gone))]


class DayRelayService(RelayService):
    """All controllers behind the relay, with the further commands `cut`, `join` and `views`."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.connections: WeakSet[ControllerSide] = WeakSet()
        self.cut_off: set[str] = set()

    def open_upstream(self, controller: ControllerSide) -> None:
        """Connects to the control role or discovery, unless the controller is cut off."""
        if any(self.clients[name] is controller.client for name in self.cut_off):
            controller.transport.abort()
            return
        self.connections.add(controller)
        super().open_upstream(controller)

    def cut(self, names: list[str]) -> dict:
        """Cuts controllers off: resets their connections, and each new one until `join`."""
        self.cut_off.update(names)
        clients = {id(self.clients[name]) for name in names}
        for connection in [*self.connections]:
            if id(connection.client) in clients:
                connection.transport.abort()
        return {}

    def join(self, names: list[str]) -> dict:
        """Lets controllers that were cut off connect again."""
        self.cut_off.difference_update(names)
        return {}

    def views(self) -> dict:
        """Returns the list that each controller was sent, and the count of unacknowledged states."""
        pending = sum(len(connection.unacknowledged) for connection in self.connections)
        return {"views": {name: one.states for name, one in self.clients.items()}, "pending": pending}

    def _open(self, name: str, target_port: int) -> int:
        self.clients.setdefault(name, DayClient(target_port))
        return super()._open(name, target_port)


class ReceivedViews(NamedTuple):
    """The list that each controller was sent, by name; `pending` counts the unacknowledged states."""

    views: dict[str, dict[str, EntryState]]
    pending: int


class DayRelay(ViewRelay):
    """The relay process, as its parent sees it."""

    def __init__(self) -> None:
        Child.__init__(self, "oatcart.scale.day_relay")

    def cut(self, names: Collection[str]) -> None:
        """Cuts controllers off from their list."""
        self.ask("cut", names=list(names))

    def join(self, names: Collection[str]) -> None:
        """Lets controllers that were cut off connect again."""
        self.ask("join", names=list(names))

    def views(self) -> ReceivedViews:
        """Returns the list that each controller was sent."""
        answer = self.ask("views")
        views = {
            name: {endpoint: EntryState(*state) for endpoint, state in states.items()}
            for name, states in answer["views"].items()
        }
        return ReceivedViews(views, answer["pending"])

    def received_states(self) -> dict[str, list[ReceivedState]]:
        """Returns all states that each controller received since its start, in the order of time."""
        clients = self.ask("held")["told"]
        return {
            name: [
                ReceivedState(at, endpoint, state and EntryState(*state)) for at, (endpoint, state) in records
            ]
            for name, records in clients.items()
        }


async def serve() -> None:
    """Answers commands until the input of the process ends."""
    service = DayRelayService(asyncio.get_running_loop())
    commands = "open", "members", "figures", "held", "cut", "join", "views"
    await answer_commands({name: getattr(service, name) for name in commands})


if __name__ == "__main__":
    ignore_interrupts()
    asyncio.run(serve())
