"""Which endpoints a client may send requests to by what it was last sent. Free of I/O and clock.

A client must not be left without an endpoint while there are some (make before break). The resources of one
group stand in for each other: an assignment on its own, or all collections that one assignment refers to.
"""

from collections.abc import Mapping


def endpoint_group(name: str) -> str:
    """The group of a resource: the name itself, or what the names of an assignment's collections begin with.

    >>> endpoint_group("lookup"), endpoint_group("xdstp://o/T/east/lookup/west/n1")
    ('lookup', 'xdstp://o/T/east/lookup')
    """
    return name.rsplit("/", 2)[0]


class SentEndpoints:
    """The pickable endpoints of one subscription, counted by group. Only groups that had one are kept.

    >>> sent = SentEndpoints()
    >>> sent.record("lookup", frozenset({"n1"}))
    >>> sent.emptied_by({"lookup": frozenset(), "fee": frozenset()})
    {'lookup'}
    >>> sent.record("lookup", frozenset())
    >>> sent.empty_groups
    {'lookup'}
    """

    def __init__(self) -> None:
        self.pickable: dict[str, frozenset] = {}  # by resource; none that are empty
        self.counts: dict[str, int] = {}  # by group
        self.empty_groups: set[str] = set()  # those that had an endpoint and have none

    def record(self, name: str, pickable: frozenset) -> None:
        """Note that a resource was sent with these endpoints, or removed if there are none."""
        previous = self.pickable.pop(name, frozenset())
        if pickable:
            self.pickable[name] = pickable
        group = endpoint_group(name)
        if not pickable and group not in self.counts:
            return
        self.counts[group] = self.counts.get(group, 0) + len(pickable) - len(previous)
        if self.counts[group]:
            self.empty_groups.discard(group)
        else:
            self.empty_groups.add(group)

    def expect(self, name: str) -> None:
        """The client holds the resource from an earlier stream, with endpoints that aren't known."""
        group = endpoint_group(name)
        if group not in self.counts:
            self.counts[group] = 0
            self.empty_groups.add(group)

    def forget(self, name: str) -> None:
        """The client unsubscribed from the resource, so its group needs no replacement."""
        self.record(name, frozenset())
        group = endpoint_group(name)
        if group in self.empty_groups:
            self.empty_groups.remove(group)
            del self.counts[group]

    def emptied_by(self, changes: Mapping[str, frozenset]) -> set[str]:
        """The groups without an endpoint once these resources are sent. `changes`: endpoints by resource."""
        differences: dict[str, int] = {}
        for name, pickable in changes.items():
            group = endpoint_group(name)
            difference = len(pickable) - len(self.pickable.get(name, ()))
            differences[group] = differences.get(group, 0) + difference
        changed = differences.keys() & self.counts.keys()
        emptied = {group for group in changed if self.counts[group] + differences[group] == 0}
        return emptied | (self.empty_groups - changed)


def replacements(groups: set[str], candidates: Mapping[str, frozenset]) -> list[str]:
    """The resources that give these groups an endpoint. `candidates`: endpoints by resource."""
    return [name for name, pickable in candidates.items() if pickable and endpoint_group(name) in groups]
