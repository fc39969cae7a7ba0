"""Draining: ejects unavailable endpoints at the proxies, restores available ones and forgets gone ones.

A drain has a deadline, so ejections reserve lines of the update channel before everything else.
"""

from collections.abc import Collection, Iterable, Mapping
from math import inf

from oatcart.model import EndpointState
from oatcart.policy.flow_control import ASSIGNMENT_SHARE, OVERDUE_SHARE, URGENT_SHARE, UpdateChannel
from oatcart.policy.registry import EndpointRegistry
from oatcart.policy.state import LONG_AGO, Endpoint, Proxy, Round, RoutingTable
from oatcart.policy.subsetting import TableRegistry

MIN_REMOVALS = 4  # lines that are worth a message if not all removals fit
# Wait after which a drain is overdue and may fill the cap; until then several drains may share a message
OVERDUE_S = 1.0
LATE_SHARE = 0.5  # of the drain deadline; drains that have waited for longer are logged
LOG_INTERVAL_S = 5.0  # between two lines on late drains
FORGET_AFTER_S = 30.0  # minimum time since an endpoint was gone; longer than any proxy takes to reconnect


class Draining:
    """Notifies proxies which endpoints to stop using and which they may use again."""

    def __init__(
        self,
        registry: EndpointRegistry,
        proxies: Mapping[int, Proxy],
        tables: TableRegistry,
        channel: UpdateChannel,
        single_proxy_ejections: bool,
    ) -> None:
        """`proxies`: the joined proxies by number. These arguments are shared with the other modules.

        `single_proxy_ejections`: ejections can be sent to one proxy alone.
        """
        self._registry = registry
        self._proxies = proxies
        self._tables = tables
        self._channel = channel
        self._single_proxy_ejections = single_proxy_ejections
        self._overdue_after = min(OVERDUE_S, channel.message_cap.drain_wait)  # s
        self._late_after = LATE_SHARE * channel.message_cap.drain_deadline  # s
        self._delayed: dict[int, Proxy] = {}  # to which a drain could not be sent in the last check
        self._next_log_at = LONG_AGO

    def remove_unavailable(self, this_round: Round) -> None:
        """Removes unavailable endpoints from the subsets, or ejects them if tables are complete.

        Comes before other updates in a check, so that these leave messages for the drains that have to wait.
        """
        for proxy in self._delayed.values():
            proxy.drain_waiting_since = inf
        self._delayed = {}
        if self._tables.has_subsets:
            for table in self._tables.used_tables():
                self.remove_entries(table, this_round)
        else:
            self.eject_unavailable(this_round)
        self._log_late_drains(this_round)

    def remove_entries(self, table: RoutingTable, this_round: Round) -> None:
        """Removes unavailable endpoints from a subset; this costs lines for its own proxies only."""
        endpoints = self._registry.endpoints
        due = [number for number in sorted(table.weights) if endpoints[number].unavailable]
        if not due:
            return
        due_endpoints = [endpoints[number] for number in due]
        fitting = self._fitting(table.proxies, due_endpoints, URGENT_SHARE, this_round.now)
        due.sort(key=lambda number: max(endpoints[number].state_changed_at, endpoints[number].ejected_at))
        for number in due[:fitting]:
            this_round.commands.set_weight(table.number, number, 0)
            del table.weights[number]
        self._note_delayed(table.proxies, [endpoints[number] for number in due[fitting:]])

    def eject_unavailable(self, this_round: Round) -> None:
        """Ejects unavailable endpoints at all proxies."""
        due = {
            number: endpoint
            for number, endpoint in self._registry.endpoints.items()
            if endpoint.listed and endpoint.unavailable and not endpoint.ejection_sent
        }
        for number in self._reserve(due, URGENT_SHARE, this_round.now):
            due[number].ejection_sent_at = this_round.now
            this_round.commands.set_ejected(number, True)
        self._note_delayed(
            self._proxies, [endpoint for endpoint in due.values() if not endpoint.ejection_sent]
        )

    def send_earlier_ejections(self, this_round: Round) -> None:
        """Sends the ejections from before they joined to proxies that wait for tables.

        Such a proxy may have tables with these endpoints from another controller, or from an earlier process
        of this one. Its new tables tell of ejections too, but may wait for the channel for longer than the
        drain deadline.
        """
        if not self._single_proxy_ejections or self._tables.has_subsets:
            return
        ejected_at = [
            endpoint.ejection_sent_at
            for endpoint in self._registry.endpoints.values()
            if endpoint.ejection_sent
        ]
        for number, proxy in self._proxies.items():
            if proxy.assigned or proxy.earlier_ejections_sent:
                continue
            lines = sum(sent_at < proxy.joined_at for sent_at in ejected_at)
            if lines and self._channel.reserve({number: proxy}, lines, URGENT_SHARE):
                this_round.commands.send_ejections(number)
                proxy.earlier_ejections_sent = True

    def restore_available(self, this_round: Round) -> None:
        """Restores available endpoints at all proxies, once no table has a higher weight than it should.

        An entry from before a restart would give an endpoint that is warming up its former weight.
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
        """Forgets endpoints that are long gone and in no table, many in one message to save messages.

        `all_assigned`: all proxies have all their tables from this controller. Otherwise a table from another
        controller may still contain the endpoints, and none is forgotten.
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
        # waits until the oldest is gone for twice as long, so that one message carries many
        if not any(endpoints[number].state_changed_at < now - 2 * FORGET_AFTER_S for number in expired):
            return
        fitting = self._channel.reserve(self._proxies, len(expired), ASSIGNMENT_SHARE, 1)
        for number in expired[:fitting]:
            this_round.commands.forget_endpoint(number)
            self._registry.forget(number)

    def _reserve(self, due: dict[int, Endpoint], share: float, now: float) -> list[int]:
        """Reserves a line for each due endpoint and returns the numbers of those that fit, drains first."""
        if not due:
            return []
        fitting = self._fitting(self._proxies, due.values(), share, now)
        ordered = sorted(
            due, key=lambda number: (due[number].state == EndpointState.READY, due[number].state_changed_at)
        )
        return ordered[:fitting]

    def _fitting(
        self, proxies: Mapping[int, Proxy], endpoints: Collection[Endpoint], share: float, now: float
    ) -> int:
        """Reserves a line to each proxy for each endpoint and returns how many of the lines fit.

        `share`: the share of the channel's caps that may be filled, unless a drain is overdue.
        """
        waited = now - min(drain_times(endpoints), default=now)
        if waited >= self._overdue_after:
            share = OVERDUE_SHARE
        minimum = min(len(endpoints), MIN_REMOVALS)
        return self._channel.reserve(proxies, len(endpoints), share, minimum, waited=waited)

    def _note_delayed(self, proxies: Mapping[int, Proxy], endpoints: Iterable[Endpoint]) -> None:
        """Notes at the proxies that drains among these endpoints wait to be sent to them."""
        times = drain_times(endpoints)
        if not times:
            return
        for proxy in proxies.values():
            proxy.drain_waiting_since = min(proxy.drain_waiting_since, *times)
        self._delayed |= proxies

    def _log_late_drains(self, this_round: Round) -> None:
        """Logs for how long the oldest drain has waited, if that is long, and which limit holds it back."""
        now = this_round.now
        waited = now - min((proxy.drain_waiting_since for proxy in self._delayed.values()), default=now)
        if waited < self._late_after or now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_S
        at_cap = self._channel.proxies_at_message_cap(self._delayed.values(), waited)
        this_round.commands.log(
            f"drains wait for up to {waited:.1f} s to be sent to {len(self._delayed)} proxies, "
            f"{at_cap} of them at the message cap; {self._channel.queued:.0f} lines are queued"
        )


def drain_times(endpoints: Iterable[Endpoint]) -> list[float]:
    """Returns when the drains among some endpoints were received; outliers do not drain."""
    return [one.state_changed_at for one in endpoints if one.state != EndpointState.READY]
