"""`deploy/trace.yaml`: where traces go and what they may take, checked."""

from pathlib import Path
from typing import NamedTuple

from oatcart.yaml_files import Wrong, load, name, size, span, table, whole

__all__ = ["TraceSettings", "Wrong", "read"]


class TraceSettings(NamedTuple):
    """Bytes, seconds, records; `folder` is made where it is missing."""

    folder: str
    file_size: int = 64 << 20
    file_for: float = 3600.0
    budget: int = 1 << 30
    room: int = 81_920


FIELDS = {
    "folder": name,
    "file_size": size,
    "file_for": span,
    "budget": size,
    "room": whole(1000, 10_000_000),
}


def read(path: str | Path) -> TraceSettings:
    """The file's settings; raises Wrong with all that is wrong in it."""
    wrong: list[str] = []
    told, where = load(path)
    found = table(told, FIELDS, "", where, wrong, 0)
    if not wrong and "folder" not in found:
        wrong.append(f"{where(0)}: folder is missing")
    usual = TraceSettings._field_defaults | found
    if not wrong and usual["budget"] < usual["file_size"]:
        line = told.lc.key("budget" if "budget" in found else "file_size")[0]
        wrong.append(f"{where(line)}: budget holds not even one file of file_size")
    if wrong:
        raise Wrong("\n".join(wrong))
    return TraceSettings(**found)
