"""The endpoint lists of discovery and of a management server as one. Free of I/O and clock."""

from collections.abc import Iterable
from enum import IntEnum

from oatcart.events import EndpointEntry
from oatcart.model import EndpointState


class ListSource(IntEnum):
    """Where a list comes from."""

    DISCOVERY = 0
    MANAGEMENT_SERVER = 1


class EndpointListMerge:
    """Two lists by the endpoints' numbers. An endpoint in either list is in the merged one."""

    def __init__(self) -> None:
        self.lists: tuple[dict[int, EndpointEntry], dict[int, EndpointEntry]] = ({}, {})

    def update(
        self, source: ListSource, complete: bool, entries: Iterable[EndpointEntry]
    ) -> list[EndpointEntry]:
        """Take over a list, or what changed in it; returns the merged entries that may have changed.

        Endpoints that a complete list leaves out are gone.
        """
        own_list = self.lists[source]
        listed = {entry.endpoint: entry for entry in entries}
        changed = listed.keys() | (own_list.keys() if complete else set())
        if complete:
            for endpoint in own_list.keys() - listed.keys():
                own_list[endpoint] = own_list[endpoint]._replace(state=EndpointState.GONE)
        own_list.update(listed)
        return [self._merged(endpoint) for endpoint in sorted(changed)]

    def _merged(self, endpoint: int) -> EndpointEntry:
        """The entry of both lists.

        Draining in either counts, and the later start, as a restarted endpoint is warming up; zone and weight
        are discovery's.
        """
        entries = [entries[endpoint] for entries in self.lists if endpoint in entries]
        present = [entry for entry in entries if entry.state != EndpointState.GONE]
        if len(present) < 2:
            return (present or entries)[0]
        discovery, management = present
        draining = EndpointState.DRAINING in (discovery.state, management.state)
        return discovery._replace(
            started_at=max(discovery.started_at, management.started_at),
            state=EndpointState.DRAINING if draining else EndpointState.READY,
        )

    def discovery_to_management(self) -> list[EndpointEntry]:
        """Move discovery's list to the management server's, where discovery is not used; returns it."""
        self.lists = ({}, self.lists[ListSource.DISCOVERY])
        return list(self.lists[ListSource.MANAGEMENT_SERVER].values())

    def forget(self, endpoint: int) -> None:
        """Remove an endpoint from both lists."""
        for entries in self.lists:
            entries.pop(endpoint, None)
