"""Rounds of a conductor that serves xDS clients beside its sidecars: the same orders, told twice."""

from collections.abc import Callable

from oatcart.events import EndpointListReceived, Event
from oatcart.net.rounds import Rounds
from oatcart.routing_tables import UpdatePart
from oatcart.xds.endpoint_list_merge import EndpointListMerge, ListSource
from oatcart.xds.front import Front
from oatcart.xds.view import Roster


class XdsRounds(Rounds):
    """`published` is called after a round that may have changed what clients see."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.roster, self.gone, self.touched = Roster(), [], False
        self.front: Front | None = None
        self.merge: EndpointListMerge | None = None  # with a management server's list, where there is one
        self.follows_roll = True
        self.published: Callable[[], None] = lambda: None

    def serve(self, front: Front, published: Callable[[], None]) -> None:
        self.front, self.published = front, published

    def add_event(self, arrival: Event) -> None:
        if isinstance(arrival, EndpointListReceived):
            if self.merge is not None:
                arrival = EndpointListReceived(False, self.merge.update(ListSource.DISCOVERY, *arrival))
            self._listed(arrival)
        else:
            super().add_event(arrival)

    def listed_elsewhere(self, entries: list[tuple]) -> None:
        """The whole list of a management server."""
        self._listed(
            EndpointListReceived(False, self.merge.update(ListSource.MANAGEMENT_SERVER, True, entries))
        )

    def _listed(self, arrival: EndpointListReceived) -> None:
        self.roster.take(*arrival)
        self.touched = True
        super().add_event(arrival)

    def watch_endpoints(self, on: bool) -> None:
        if self.follows_roll:
            super().watch_endpoints(on)

    def fetch_endpoints(self) -> None:
        if self.follows_roll:
            super().fetch_endpoints()

    def set_weight(self, table: int, node: int, weight: float) -> None:
        self.touched = True
        super().set_weight(table, node, weight)

    def clear_table(self, table: int) -> None:
        self.touched = True
        super().clear_table(table)

    def assign_table(self, table: int, proxy: int, kinds: int) -> None:
        self.touched = True
        super().assign_table(table, proxy, kinds)

    def set_ejected(self, node: int, out: bool) -> None:
        self.touched = True
        super().set_ejected(node, out)

    def set_admission(self, table: int, kinds: int, quota: float, tries: int) -> None:
        self.touched = True
        super().set_admission(table, kinds, quota, tries)

    def forget_endpoint(self, node: int) -> None:
        self.gone.append(node)
        super().forget_endpoint(node)

    def named(self, place: int) -> tuple[str, str, int] | None:
        at = self.watcher.addresses.get(place)
        return (self.codec.endpoint_ids[place], *at) if at else None

    def _send_update(self, proxy: int, parts: tuple[UpdatePart, ...], encoded: dict[tuple, bytes]) -> None:
        if self.front is not None and proxy in self.front.by_proxy:
            self.front.told(proxy, parts)
        else:
            super()._send_update(proxy, parts, encoded)

    def _send_updates(self) -> None:
        super()._send_updates()
        if self.front is not None and self.touched:
            self.touched = False
            self.front.publish(self.loop.now, self, self.roster, self.named)
            self.published()
        for node in self.gone:
            self.roster.drop(node)
            if self.merge is not None:
                self.merge.forget(node)
        self.gone = []
