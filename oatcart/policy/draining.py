"""Draining: endpoints are taken from the proxies, given back, and forgotten, in this order.

What drains has a deadline, so it goes before everything else that waits for the update channel.
"""

from collections.abc import Iterable, Mapping
from math import inf

from oatcart.model import EndpointState
from oatcart.policy.flow_control import ASSIGNMENT_SHARE, OVERDUE_SHARE, URGENT_SHARE, UpdateChannel
from oatcart.policy.registry import EndpointRegistry
from oatcart.policy.state import Endpoint, Proxy, Round, RoutingTable
from oatcart.policy.subsetting import TableRegistry

MIN_REMOVALS = 4  # lines that justify a message, where not all fit
# From the news of a drain until its removal may use the last messages of the cap; until then drains wait for
# each other, as a message may carry many
OVERDUE_S = 1.0
FORGET_AFTER_S = 30.0  # least time since an endpoint became gone; longer than any proxy takes to reconnect


class Draining:
    """Tells proxies which endpoints to stop using, and which they may use again."""

    def __init__(
        self,
        registry: EndpointRegistry,
        proxies: Mapping[int, Proxy],
        tables: TableRegistry,
        channel: UpdateChannel,
    ) -> None:
        """`proxies`: those that are joined, by number; all state is handed in."""
        self._registry = registry
        self._proxies = proxies
        self._tables = tables
        self._channel = channel

    def remove_entries(self, table: RoutingTable, this_round: Round) -> None:
        """Removes unavailable endpoints from a subset, which costs lines for its own proxies only."""
        endpoints = self._registry.endpoints
        due = [number for number in sorted(table.weights) if endpoints[number].unavailable]
        if not due:
            return
        share = self._share((endpoints[number] for number in due), URGENT_SHARE, this_round.now)
        minimum = min(len(due), MIN_REMOVALS)
        fitting = self._channel.reserve(table.proxies, len(due), share, minimum)
        due.sort(key=lambda number: max(endpoints[number].state_changed_at, endpoints[number].ejected_at))
        for number in due[:fitting]:
            this_round.commands.set_weight(table.number, number, 0)
            del table.weights[number]

    def eject_unavailable(self, this_round: Round) -> None:
        """Tells all proxies not to use unavailable endpoints; subsets lose their entries instead."""
        if self._tables.has_subsets:
            return
        due = {
            number: endpoint
            for number, endpoint in self._registry.endpoints.items()
            if endpoint.listed and endpoint.unavailable and not endpoint.ejection_sent
        }
        for number in self._reserve(due, URGENT_SHARE, this_round.now):
            due[number].ejection_sent_at = this_round.now
            this_round.commands.set_ejected(number, True)

    def restore_available(self, this_round: Round) -> None:
        """Lets all proxies use endpoints again that are available, once no table has an old weight for them.

        An entry of before a restart would give an endpoint that is warming up its former weight.
        """
        due = {
            number: endpoint
            for number, endpoint in self._registry.endpoints.items()
            if endpoint.listed and not endpoint.unavailable and endpoint.ejection_sent
        }
        for table in self._tables.tables.values():
            due = {
                number: endpoint
                for number, endpoint in due.items()
                if table.weights.get(number, 0) <= table.unsent.get(number, inf)
            }
        for number in self._reserve(due, ASSIGNMENT_SHARE, this_round.now):
            due[number].ejection_sent_at = inf
            this_round.commands.set_ejected(number, False)

    def forget_gone(self, this_round: Round, all_assigned: bool) -> None:
        """Forgets endpoints that are long gone and in no table; together, as each costs a message.

        `all_assigned`: all proxies have their tables from here; else tables of others may hold the endpoints.
        """
        if not all_assigned:
            return
        now = this_round.now
        endpoints = self._registry.endpoints
        expired = [
            number
            for number, endpoint in endpoints.items()
            if endpoint.state == EndpointState.GONE
            and endpoint.listed
            and endpoint.state_changed_at < now - FORGET_AFTER_S
            and not any(number in table.weights for table in self._tables.tables.values())
        ]
        # the oldest waits twice as long, so that one message carries many
        if not any(endpoints[number].state_changed_at < now - 2 * FORGET_AFTER_S for number in expired):
            return
        fitting = self._channel.reserve(self._proxies, len(expired), ASSIGNMENT_SHARE, 1)
        for number in expired[:fitting]:
            this_round.commands.forget_endpoint(number)
            self._registry.forget(number)

    def _reserve(self, due: dict[int, Endpoint], share: float, now: float) -> list[int]:
        """Reserves a line for each due endpoint and returns those that fit, drains first."""
        if not due:
            return []
        share = self._share(due.values(), share, now)
        minimum = min(len(due), MIN_REMOVALS)
        fitting = self._channel.reserve(self._proxies, len(due), share, minimum)
        ordered = sorted(
            due, key=lambda number: (due[number].state == EndpointState.READY, due[number].state_changed_at)
        )
        return ordered[:fitting]

    def _share(self, endpoints: Iterable[Endpoint], usual: float, now: float) -> float:
        """Returns the part of the channel's caps that a removal may fill: all once a drain is overdue."""
        drains = [
            endpoint.state_changed_at for endpoint in endpoints if endpoint.state != EndpointState.READY
        ]
        return OVERDUE_SHARE if now - min(drains, default=now) >= OVERDUE_S else usual
