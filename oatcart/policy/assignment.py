"""Assignment: sends proxies that join their routing tables, as far as the update channel has capacity."""

from collections.abc import Mapping

from oatcart.commands import covers
from oatcart.events import ProxyJoined, UpdateAcknowledged
from oatcart.policy.flow_control import ASSIGNMENT_SHARE, UpdateChannel
from oatcart.policy.load_shedding import LoadShedding
from oatcart.policy.publication import Publication
from oatcart.policy.registry import EndpointRegistry
from oatcart.policy.state import Proxy, Round, RoutingTable
from oatcart.policy.subsetting import TableRegistry
from oatcart.policy.workload import Workload


class ProxyDirectory:
    """The proxies that are joined to this controller."""

    def __init__(self, request_classes: int, channel: UpdateChannel) -> None:
        """`request_classes`: the number of request classes."""
        self._request_classes = request_classes
        self._channel = channel
        self.proxies: dict[int, Proxy] = {}

    def join(self, event: ProxyJoined, now: float) -> None:
        """Adds a proxy; the end of its former stream may not have been reported."""
        self.leave(event.proxy)
        rates = [event.usual_rate / max(1, self._request_classes)] * self._request_classes
        self.proxies[event.proxy] = Proxy(event.zone, not event.unconfigured, now, rates)

    def leave(self, number: int) -> None:
        """Removes a proxy, also from its tables; no effect if it is not joined."""
        proxy = self.proxies.pop(number, None)
        if proxy is None:
            return
        for table in proxy.tables:
            table.proxies.pop(number, None)
            table.unacknowledged.discard(number)

    def acknowledge(self, event: UpdateAcknowledged) -> None:
        """Records that a proxy has applied all updates up to a nonce."""
        self._channel.acknowledge(event.nonce)
        proxy = self.proxies.get(event.proxy)
        if proxy is None:
            return
        for table in proxy.tables:
            if covers(event.nonce, table.nonce):
                table.unacknowledged.discard(event.proxy)

    def all_assigned(self) -> bool:
        """Whether every proxy has all of its tables."""
        return all(proxy.assigned for proxy in self.proxies.values())


class Assignment:
    """Chooses and sends the tables of joined proxies."""

    def __init__(
        self,
        registry: EndpointRegistry,
        proxies: Mapping[int, Proxy],
        tables: TableRegistry,
        workload: Workload,
        shedding: LoadShedding,
        publication: Publication,
        channel: UpdateChannel,
    ) -> None:
        """`proxies`: the joined proxies by number. All arguments are shared with the other modules."""
        self._registry = registry
        self._proxies = proxies
        self._tables = tables
        self._workload = workload
        self._shedding = shedding
        self._publication = publication
        self._channel = channel

    def assign_joined(self, this_round: Round) -> None:
        """Assigns tables to proxies that lack some, once an endpoint list was received.

        Before that, a proxy keeps its tables from another controller, as the ones here would be empty.
        """
        listed = any(endpoint.listed for endpoint in self._registry.endpoints.values())
        joining = {number: proxy for number, proxy in self._proxies.items() if listed and not proxy.assigned}
        self._choose_tables(joining)
        pairs = [(number, table) for number, proxy in joining.items() for table in proxy.tables]
        self._tables.await_tables({table.number for _, table in pairs})
        awaited = [self._tables.tables[number] for number in sorted(self._tables.awaited)]
        self._tables.assign_endpoints()
        for table in [table for table in awaited if not table.proxies]:
            self._publication.publish(table, this_round)
        self._send_tables(joining, pairs, this_round)
        self._workload.update()
        for number, proxy in joining.items():
            proxy.assigned = all(number in table.proxies for table in proxy.tables)
        for table in awaited:
            self._shedding.send_admission(table, this_round)

    def _choose_tables(self, joining: Mapping[int, Proxy]) -> None:
        """Chooses tables for each proxy in turn, starting with those that have the fewest proxies.

        A choice is kept, unless one of its tables has become too large before the proxy got any of them.
        """
        profiles = sorted({(proxy.zone, proxy.configured_before) for proxy in joining.values()})
        choices = {profile: self._tables.choices(*profile, len(self._proxies)) for profile in profiles}
        for number, proxy in joining.items():
            fitting = choices[proxy.zone, proxy.configured_before]
            too_large = any(
                table.size > choice.max_size for table, choice in zip(proxy.tables, fitting, strict=False)
            )
            has_no_table = not any(number in table.proxies for table in proxy.tables)
            if not proxy.tables or (too_large and has_no_table):
                proxy.tables = [choice.tables[0] for choice in fitting]
                for choice in fitting:
                    choice.tables.rotate(-1)

    def _send_tables(
        self,
        joining: Mapping[int, Proxy],
        pairs: list[tuple[int, RoutingTable]],
        this_round: Round,
    ) -> None:
        """Sends complete tables as far as the channel has capacity, to the proxies with most requests first.

        While any endpoint is ejected, the shortest tables are sent first, as only proxies with tables are
        notified of ejections.
        """
        removals = any(endpoint.ejection_sent for endpoint in self._registry.endpoints.values())
        pairs.sort(key=lambda pair: (removals and len(pair[1].weights), -sum(joining[pair[0]].rates)))
        for number, table in pairs:
            if number in table.proxies:
                continue
            lines = self._line_count(table, joining[number])
            if self._channel.reserve({number: joining[number]}, lines, ASSIGNMENT_SHARE):
                classes = sum(1 << request_class for request_class in table.classes)
                this_round.commands.assign_table(table.number, number, classes)
                table.proxies[number] = joining[number]

    def _line_count(self, table: RoutingTable, proxy: Proxy) -> int:
        """Returns the lines of a complete table: entries, admission, and notices of endpoints' ejections."""
        endpoints = self._registry.endpoints
        notices = sum(proxy.configured_before or endpoints[number].ejection_sent for number in table.weights)
        return 1 + len(table.weights) + len(table.classes) + notices
