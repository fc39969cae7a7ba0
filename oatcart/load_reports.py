"""Reads load reports of endpoints, and defines the bounds of received numbers.

The protocol on sockets and the simulator's protocol name the same three numbers differently; both are read.
"""

from oatcart.model import LoadReport

MAX_AMOUNT = 1e13  # in any unit; Unix time in ms, the largest in use, is below it; sums must not overflow
MAX_LOAD = 1e6  # requests in flight or queued, or cores in use; more than any endpoint has
# For each field of LoadReport: its name in settings (accepted in reports too), then its name in the protocol
_FIELD_NAMES = (("concurrent", "inflight"), ("load_share", "util"), ("depth", "queue"))


def is_amount(value: object) -> bool:
    """Return whether a value is a number from 0 to MAX_AMOUNT.

    >>> is_amount(2.5), is_amount(-1), is_amount(float("nan")), is_amount(True), is_amount("7")
    (True, False, False, False, False)
    """
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value <= MAX_AMOUNT


def read_load_report(report: object) -> LoadReport:
    """Return the load report in a decoded JSON object.

    A field that is missing, not a number, negative or above MAX_LOAD is None in the result, as are all fields
    if `report` is not an object.

    >>> read_load_report({"inflight": 7, "util": 0.5, "queue": -1})
    LoadReport(in_flight=7, utilization=0.5, queued=None)
    """
    fields = report if isinstance(report, dict) else {}
    return LoadReport(*(_first_load(fields, names) for names in _FIELD_NAMES))


def _first_load(fields: dict, names: tuple[str, ...]) -> float | None:
    for name in names:
        value = fields.get(name)
        if is_amount(value) and value <= MAX_LOAD:
            return value
    return None
