"""Rounds of a controller that serves xDS clients besides the proxies of the JSON protocol.

Both get the same commands: proxies as updates, xDS clients as resources.
"""

from collections.abc import Callable

from oatcart.events import EndpointListReceived, Event
from oatcart.net.rounds import Rounds
from oatcart.routing_tables import UpdatePart
from oatcart.xds.endpoint_list_merge import EndpointListMerge, ListSource
from oatcart.xds.front import Front
from oatcart.xds.view import ListedEndpoints


class XdsRounds(Rounds):
    """Publishes the routing tables to the xDS front after each round.

    `on_published` is called after a round that may have changed what clients see.
    """

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.listed_endpoints, self.forgotten_endpoints, self.tables_changed = ListedEndpoints(), [], False
        self.front: Front | None = None
        self.list_merge: EndpointListMerge | None = None  # where there is a management server
        self.uses_discovery = True
        self.on_published: Callable[[], None] = lambda: None

    def attach_front(self, front: Front, on_published: Callable[[], None]) -> None:
        """Set the front before the first round."""
        self.front, self.on_published = front, on_published

    def add_event(self, event: Event) -> None:
        """Pass an event to the next round; endpoint lists are merged and noted for the front."""
        if isinstance(event, EndpointListReceived):
            if self.list_merge is not None:
                event = EndpointListReceived(False, self.list_merge.update(ListSource.DISCOVERY, *event))
            self._add_list(event)
        else:
            super().add_event(event)

    def add_management_list(self, entries: list[tuple]) -> None:
        """Add the complete list of a management server."""
        self._add_list(
            EndpointListReceived(False, self.list_merge.update(ListSource.MANAGEMENT_SERVER, True, entries))
        )

    def _add_list(self, event: EndpointListReceived) -> None:
        self.listed_endpoints.update(*event)
        self.tables_changed = True
        super().add_event(event)

    def watch_endpoints(self, enabled: bool) -> None:
        """Open or close the watch on discovery's list, where discovery is used."""
        if self.uses_discovery:
            super().watch_endpoints(enabled)

    def fetch_endpoints(self) -> None:
        """Ask discovery for the complete list, where discovery is used."""
        if self.uses_discovery:
            super().fetch_endpoints()

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Set the weight of an endpoint in a routing table, points; 0 removes it."""
        self.tables_changed = True
        super().set_weight(table, endpoint, weight)

    def clear_table(self, table: int) -> None:
        """Remove all endpoints from a routing table."""
        self.tables_changed = True
        super().clear_table(table)

    def assign_table(self, table: int, proxy: int, classes: int) -> None:
        """Let a proxy route classes by a routing table."""
        self.tables_changed = True
        super().assign_table(table, proxy, classes)

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Eject an endpoint at all proxies, or restore it."""
        self.tables_changed = True
        super().set_ejected(endpoint, ejected)

    def send_ejections(self, proxy: int) -> None:
        """Send one proxy all ejections; of an xDS client, publication awaits the acknowledgement."""
        self.tables_changed = True
        super().send_ejections(proxy)

    def set_admission(self, table: int, classes: int, quota: float, retry_policy: int) -> None:
        """Set the quota and the retry policy of classes."""
        self.tables_changed = True
        super().set_admission(table, classes, quota, retry_policy)

    def forget_endpoint(self, endpoint: int) -> None:
        """Free the number of an endpoint that is gone; the front's record of it goes after the round."""
        self.forgotten_endpoints.append(endpoint)
        super().forget_endpoint(endpoint)

    def endpoint_address(self, endpoint: int) -> tuple[str, str, int] | None:
        """Return the id, host and port of an endpoint; None while its address is not known."""
        address = self.watcher.addresses.get(endpoint)
        return (self.codec.endpoint_ids[endpoint], *address) if address else None

    def _send_update(self, proxy: int, parts: tuple[UpdatePart, ...], encoded: dict[tuple, bytes]) -> None:
        if self.front is not None and proxy in self.front.by_proxy:
            self.front.note_update(proxy, parts)
        else:
            super()._send_update(proxy, parts, encoded)

    def _send_updates(self) -> None:
        super()._send_updates()
        if self.front is not None and self.tables_changed:
            self.tables_changed = False
            self.front.publish(self.loop.now, self, self.listed_endpoints, self.endpoint_address)
            self.on_published()
        for endpoint in self.forgotten_endpoints:
            self.listed_endpoints.forget(endpoint)
            if self.list_merge is not None:
                self.list_merge.forget(endpoint)
        self.forgotten_endpoints = []
