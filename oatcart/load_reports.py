"""Load reports of endpoints, and the bounds of what any number that is received may be.

Sockets and the simulator's wire name the same three numbers differently; both are read here.
"""

from oatcart.model import LoadReport

MAX_AMOUNT = 1e13  # of any unit; the largest in use is Unix time in ms, and sums of larger ones overflow
MAX_LOAD = 1e6  # requests in flight or queued, cores in use: more than any endpoint has
# By field of LoadReport: the settings' name, which reports on sockets may have too, and the protocol's
_FIELD_NAMES = (("concurrent", "inflight"), ("load_share", "util"), ("depth", "queue"))


def is_amount(value: object) -> bool:
    """Whether a value is a number from 0 to MAX_AMOUNT.

    >>> is_amount(2.5), is_amount(-1), is_amount(float("nan")), is_amount(True), is_amount("7")
    (True, False, False, False, False)
    """
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value <= MAX_AMOUNT


def read_load_report(report: object) -> LoadReport:
    """Read a report that should be a table of numbers by name.

    A field that is missing, not a number, negative or above MAX_LOAD is None in the result.

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
