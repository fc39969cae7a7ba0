"""Reads and checks `deploy/trace.yaml`: the folder for traces and their limits."""

from pathlib import Path
from typing import NamedTuple

from oatcart.errors import InvalidConfigurationError
from oatcart.trace.write_policy import Limits
from oatcart.yaml_files import duration, integer, load, name, size, table

__all__ = ["TraceSettings", "InvalidConfigurationError", "read"]


class TraceSettings(NamedTuple):
    """The folder for trace files, which is created if it is missing, and their limits."""

    folder: str
    limits: Limits = Limits()


# The file's keys and the checks of their values
KEYS = {
    "folder": name,
    "file_size": size,
    "file_for": duration,
    "budget": size,
    "room": integer(1000, 10_000_000),
}
# The limit that each key sets
LIMITS = {
    "file_size": "max_file_bytes",
    "file_for": "max_file_age",
    "budget": "max_total_bytes",
    "room": "max_queued_records",
}


def read(path: str | Path) -> TraceSettings:
    """Read the settings file.

    Raises InvalidConfigurationError with one line for each fault, which names the file, the line and the key.
    """
    faults: list[str] = []
    document, where = load(path)
    values = table(document, KEYS, "", where, faults, 0)
    if not faults and "folder" not in values:
        faults.append(f"{where(0)}: folder is missing")
    limits = Limits(**{LIMITS[key]: value for key, value in values.items() if key in LIMITS})
    if not faults and limits.max_total_bytes < limits.max_file_bytes:
        line = document.lc.key("budget" if "budget" in values else "file_size")[0]
        faults.append(f"{where(line)}: budget: expected at least file_size")
    if faults:
        raise InvalidConfigurationError("\n".join(faults))
    return TraceSettings(values["folder"], limits)
