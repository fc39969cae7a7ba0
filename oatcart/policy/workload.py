"""The offered work of routing tables, and the number of endpoints that it fills."""

from collections.abc import Sequence

from oatcart.model import RequestClass
from oatcart.policy.registry import EndpointRegistry
from oatcart.policy.state import RoutingTable
from oatcart.policy.subsetting import SUBSETS_PER_ENDPOINT, TableRegistry


class Workload:
    """Offered work by table: request rate times latency objective, so seconds of work per second."""

    def __init__(
        self, request_classes: Sequence[RequestClass], registry: EndpointRegistry, tables: TableRegistry
    ) -> None:
        """`request_classes`: the index of a class is its number."""
        self._request_classes = request_classes
        self._registry = registry
        self._tables = tables
        self._by_table: dict[int, dict[int, float]] = {}
        self._admitted = 0.0  # admitted work of all tables

    def update(self) -> None:
        """Sums the offered and the admitted work of all tables, from the rates at their proxies."""
        tables = self._tables.tables
        self._by_table = {
            number: {request_class: self._offered(table, request_class) for request_class in table.classes}
            for number, table in tables.items()
        }
        self._admitted = sum(
            sum(self._by_table[number].values()) * table.admitted_share for number, table in tables.items()
        )

    def _offered(self, table: RoutingTable, request_class: int) -> float:
        rate = sum(proxy.rates[request_class] for proxy in table.proxies.values())
        return self._request_classes[request_class].latency_objective * rate

    def offered(self, table: RoutingTable) -> dict[int, float]:
        """Returns the work offered to a table by request class, as of the last update."""
        return self._by_table[table.number]

    def filled_endpoints(self, table: RoutingTable) -> float:
        """Returns the number of endpoints that the offered work of a table would fill.

        It is assumed that the admitted work of all tables together fills all ready endpoints.
        """
        offered = sum(self._by_table.get(table.number, {}).values())
        work_share = offered / self._admitted if self._admitted else 1.0
        # an endpoint of a subset is also filled by the other subsets that it is in
        subsets_per_endpoint = 1 if table.complete else SUBSETS_PER_ENDPOINT
        return len(self._registry.pool()) * work_share * subsets_per_endpoint
