"""Noting reqs, for whoever sees them: a proxy, or a stand-in of one. Free of I/O; the records go to a
writer's `put`.
"""

from collections.abc import Callable

from oatcart.trace.records import RecordKind


class RequestRecorder:
    """The reqs of one proxy, by their numbers, from `begun` to `ended`; all times are the proxy's own, in
    seconds.
    """

    def __init__(self, proxy: str, zone: str, put: Callable[[tuple], None]) -> None:
        self.proxy, self.zone, self.put = proxy, zone, put
        self.count = 0
        self.open: dict[int, list] = {}  # kind, key, value, tries, node and start of the try under way

    def request_received(self, kind: str, key: bytes = b"", value: float = 1.0) -> int:
        """A req has come; hands back its number."""
        self.count += 1
        self.open[self.count] = [kind, key, value, 0, "", 0.0]
        return self.count

    def attempt_started(self, number: int, node: str, at: float) -> None:
        """It is handed to a node, for the first time or, after `failed`, again."""
        one = self.open[number]
        one[3:] = one[3] + 1, node, at

    def attempt_failed(self, number: int, ending: str, at: float) -> None:
        """A try has ended without an answer, and another will be made; the last one ends with `ended`."""
        kind, key, _, tries, node, since = self.open[number]
        self.put((RecordKind.ATTEMPT, since, number, key, self.proxy, kind, tries, node, ending, at - since))

    def request_ended(self, number: int, outcome: str, at: float) -> None:
        """It is done, denied or errored; without a try it was answered here."""
        kind, key, value, tries, node, since = self.open.pop(number)
        self.put(
            (
                RecordKind.REQUEST,
                since if tries else at,
                number,
                key,
                self.proxy,
                kind,
                self.zone,
                node,
                outcome,
                at - since if tries else 0.0,
                tries,
                value,
            )
        )
