"""Subsetting: decides which routing tables there are, and which endpoints each of them has.

A table has all endpoints of its zones if the update channel can send complete tables to all proxies within a
share of the drain deadline. Otherwise each key has several tables, each with a subset of the endpoints. Each
endpoint is in two subsets, so that overlapping subsets balance their load.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from math import ceil, inf
from typing import NamedTuple

from oatcart.model import ControllerSettings
from oatcart.policy.locality import TableKey, table_keys
from oatcart.policy.registry import EndpointRegistry
from oatcart.policy.state import Endpoint, RoutingTable

# Share of the drain deadline that sending complete tables may take; the rest is for changes
DEADLINE_SHARE = 0.5
MIN_SUBSET = 4  # endpoints; with fewer, two random choices too often both pick failing ones
SUBSETS_PER_ENDPOINT = 2
MAX_SIZE_FACTOR = 1.5  # maximum size of a joining proxy's table, as a multiple of the wanted size


class TableChoice(NamedTuple):
    """Tables of one key from which one is chosen for a joining proxy."""

    max_size: float  # endpoints; the choice of a larger table is not kept
    tables: deque[RoutingTable]  # the one with the fewest proxies first


class TableRegistry:
    """All routing tables by number, with the endpoints of each."""

    def __init__(
        self,
        settings: ControllerSettings,
        registry: EndpointRegistry,
        uniform: Callable[[float, float], float],
    ) -> None:
        """`uniform(a, b)` draws the seeded random numbers."""
        self._settings = settings
        self._registry = registry
        self._uniform = uniform
        self._by_key: dict[TableKey, list[RoutingTable]] = {}
        self.tables: dict[int, RoutingTable] = {}
        self.awaited: set[int] = set()  # numbers of tables that joining proxies wait for
        self.has_subsets = False

    def await_tables(self, numbers: set[int]) -> None:
        """Sets the numbers of the tables that joining proxies wait for; these count as in use."""
        self.awaited = numbers

    def in_use(self, table: RoutingTable) -> bool:
        """Whether a table is in use; a subset is only while proxies have it or wait for it."""
        return table.complete or bool(table.proxies) or table.number in self.awaited

    def used_tables(self) -> Iterator[RoutingTable]:
        """Returns an iterator over the tables in use."""
        return filter(self.in_use, self.tables.values())

    def pools(self) -> list[dict[int, Endpoint]]:
        """Returns the ready endpoints of each set of zones that a table uses."""
        return [self._registry.pool(zones) for zones in {table.zones for table in self.tables.values()}]

    def endpoints(self, table: RoutingTable) -> dict[int, Endpoint]:
        """Returns the ready endpoints of a table by number; with subsets, without the ejected ones.

        Without subsets, proxies are notified of ejections and the entries of ejected endpoints stay.
        """
        pool = self._registry.pool(table.zones)
        if not self.has_subsets:
            return pool
        numbers = pool if table.complete else sorted(table.subset & pool.keys())
        return {number: pool[number] for number in numbers if not pool[number].ejected}

    def choices(self, zone: int, configured_before: bool, joined_proxies: int) -> list[TableChoice]:
        """Returns the candidates for each table that a joining proxy of a zone needs.

        The size of a subset follows from the lines that the channel can send within DEADLINE_SHARE of the
        drain deadline. For a proxy that was `configured_before`, each entry costs one more line, a notice on
        whether its endpoint may be used.
        """
        settings = self._settings
        keys = table_keys(settings.request_classes, zone, settings.cross_zone_price)
        pools = {key: self._registry.pool(key.zones) for key in keys}
        max_lines = DEADLINE_SHARE * settings.drain_deadline * settings.channel.line_rate
        entries = sum(map(len, pools.values()))
        proxies = max(1.0, settings.expected_proxies, joined_proxies)
        overhead = settings.channel.message_overhead + 1 + len(pools) + len(settings.request_classes)
        lines = entries * (1 + configured_before)
        fitting_share = (max_lines / proxies - overhead) / (lines or 1)
        complete_tables_fit = proxies * (entries + overhead) <= max_lines
        choices = []
        for key, pool in pools.items():
            size = inf if complete_tables_fit else max(MIN_SUBSET, int(fitting_share * len(pool)))
            tables = self._tables_of_size(key, size, len(pool))
            by_proxies = sorted(tables, key=lambda table: len(table.proxies))
            choices.append(TableChoice(MAX_SIZE_FACTOR * size, deque(by_proxies)))
        return choices

    def _tables_of_size(self, key: TableKey, size: float, pool_size: int) -> list[RoutingTable]:
        """Returns the tables of a key that are not too large; adds tables until all endpoints fit."""
        tables_of_key = self._by_key.setdefault(key, [])
        tables = [table for table in tables_of_key if table.size <= MAX_SIZE_FACTOR * size]
        wanted = max(1, ceil(SUBSETS_PER_ENDPOINT * pool_size / size))
        for _ in range(len(tables), wanted):
            table = RoutingTable(len(self.tables), *key, size)
            self.tables[table.number] = table
            tables_of_key.append(table)
            tables.append(table)
        return tables

    def assign_endpoints(self) -> None:
        """Fills each subset up to its size, half with local endpoints, preferring those in few subsets."""
        self.has_subsets = any(not table.complete for table in self.tables.values())
        if not self.has_subsets:
            return
        for key, tables in self._by_key.items():
            pool = {
                number: endpoint
                for number, endpoint in self._registry.pool(key.zones).items()
                if not endpoint.ejected
            }
            subsets = [table for table in tables if not table.complete and self.in_use(table)]
            self._assign_pool(pool, subsets)

    def _assign_pool(self, pool: dict[int, Endpoint], subsets: list[RoutingTable]) -> None:
        for table in subsets:
            table.subset &= pool.keys()
        subset_counts = Counter(number for table in subsets for number in table.subset)
        missing_share = len(pool.keys() - subset_counts.keys()) / max(1, len(pool))
        for table in subsets:
            size = int(min(table.size, len(pool)))
            self._remove_excess(table, size, missing_share, pool, subset_counts)
            self._fill(table, size, pool, subset_counts)
        uncovered = [number for number in pool if not subset_counts[number]] if subsets else []
        for number in uncovered:
            min(subsets, key=lambda table: len(table.subset) - table.size).subset.add(number)

    def _remove_excess(
        self,
        table: RoutingTable,
        size: int,
        missing_share: float,
        pool: dict[int, Endpoint],
        subset_counts: Counter[int],
    ) -> None:
        """Removes endpoints from a subset, to make space for those that are in no subset yet.

        `missing_share`: the share of the pool that is in no subset. Remote endpoints are removed first, and
        of these the ones in most subsets.
        """
        if not missing_share:
            return
        excess = int(len(table.subset) + missing_share * size + self._uniform(0, 1)) - size
        if excess > 0:
            removed = sorted(
                table.subset,
                key=lambda number: (pool[number].zone == table.local_zone, -subset_counts[number], number),
            )[:excess]
            table.subset.difference_update(removed)
            subset_counts.subtract(removed)

    def _fill(
        self, table: RoutingTable, size: int, pool: dict[int, Endpoint], subset_counts: Counter[int]
    ) -> None:
        """Adds endpoints up to `size`, those in few subsets first, and local ones until they are half."""
        missing = size - len(table.subset)
        if missing <= 0:
            return
        candidates = sorted(
            pool.keys() - table.subset, key=lambda number: (subset_counts[number], self._uniform(0, 1))
        )
        local_count = sum(pool[number].zone == table.local_zone for number in table.subset)
        local_wanted = int(table.size) // 2 - local_count
        local = [number for number in candidates if pool[number].zone == table.local_zone][
            : max(0, local_wanted)
        ]
        added = [*local, *(number for number in candidates if number not in local)][:missing]
        table.subset.update(added)
        subset_counts.update(added)
