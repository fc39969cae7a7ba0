"""Writes site files of other deployments for the operators' bench, as changes to one of its own site files.

    python deploy/sites/variants.py ../given/kit/sites/lagos-lists.toml deploy/sites/out

The files that the bench reads with a site file are copied to the output folder too. The output is not
committed.
"""

import re
import shutil
import sys
from pathlib import Path

COMPANION_FILES = "real.json", "wire.json", "unlock.txt"
# New values by section (of a request class or a kind of endpoint, with its name) and key; None removes the
# whole section. `more` is added at the end.
VARIANTS = {
    # many zones, four request classes, a slow update channel, a low message cap, a long drain deadline
    "quay-maps": {
        ("net", "zones"): '["quay-1", "quay-2", "quay-3", "quay-4", "quay-5", "hill", "mill"]',
        ("net", "cross_ms"): "[3.0, 5.0]",
        ("rules", "drain_grace_ms"): "6000",
        ("prices", "cross_zone"): "0.05",
        ("fam", "lines_per_s"): "[1500, 1900]",
        ("fam", "backlog_ms"): "2000",
        ("fam", "messages_most"): "10",  # the least that the bench accepts besides 0
        ("fam", "standing"): "4",
        ("class list-lookup", "share"): "[0.3, 0.4]",
        ("class list-lookup", "worth"): "2",
        ("class slot-update", "window_ms"): "5000",
        ("class fee-charge", "share"): "[0.1, 0.15]",
        ("kind full-speed", "name"): '"crane"',
        ("kind slower", "name"): '"barge"',
        "more": """
[[class]]
name = "tide-tables"
share = [0.15, 0.25]
work_ms = [20, 40]
dist = "lognormal"
cv = [0.4, 0.6]
attempt_noise = [0.1, 0.3]
aim_ms = 300
deadline_ms = 900
worth = 0.5
late_worth = 0.3
effect = "safe"
""",
    },
    # half of the requests are not idempotent, a long warm-up, a fast update channel, a short window in which
    # repeats are dropped
    "vault-seals": {
        ("net", "zones"): '["vault-n", "vault-s"]',
        ("rules", "drain_grace_ms"): "2000",
        ("rules", "fall_multiple"): "3",
        ("fam", "lines_per_s"): "[9000, 11000]",
        ("fam", "backlog_ms"): "1000",
        ("fam", "messages_most"): "20",
        ("class list-lookup", "share"): None,
        ("class slot-update", "share"): "[0.4, 0.5]",
        ("class slot-update", "window_ms"): "800",
        ("class slot-update", "deadline_ms"): "1500",
        ("class fee-charge", "share"): "[0.5, 0.6]",
        ("class fee-charge", "worth"): "8",
        ("class fee-charge", "deadline_ms"): "2000",
        ("kind full-speed", "cold_s"): "[20, 30]",
        ("kind slower", "cold_s"): "[20, 30]",
        ("kind full-speed", "cold_from"): "[0.15, 0.2]",
    },
}


def split_sections(text: str) -> list[list[str]]:
    """Returns the lines of each section of a site file; the first section has no header."""
    sections: list[list[str]] = [[]]
    for line in text.splitlines():
        if line.startswith("["):
            sections.append([])
        sections[-1].append(line)
    return sections


def section_name(lines: list[str]) -> str:
    """Returns the name of a section: `fam`, or `class fee-charge` where there may be several of its kind."""
    header = lines[0].strip("[] ").split(".")[-1] if lines and lines[0].startswith("[") else ""
    named = re.search(r'^name = "(.*)"', "\n".join(lines), re.M)
    return f"{header} {named[1]}" if header in ("class", "kind") and named else header


def apply_variant(text: str, name: str) -> str:
    """Returns the site file of a variant. Raises LookupError for changes that match no section and key."""
    changes = {key: value for key, value in VARIANTS[name].items() if key != "more"} | {
        ("", "name"): f'"{name}"'
    }
    output, matched = [], set()
    for lines in split_sections(text):
        section, removed = section_name(lines), False
        for number, line in enumerate(lines):
            key = section, line.split(" = ")[0]
            if key in changes:
                matched.add(key)
                removed = removed or changes[key] is None
                lines[number] = f"{key[1]} = {changes[key]}"
        output += [] if removed else lines
    if unmatched := changes.keys() - matched:
        raise LookupError(f"the site file has no section and key {sorted(unmatched)}")
    return "\n".join(output) + "\n" + VARIANTS[name].get("more", "")


def main() -> None:
    """Writes all variants of the site file that the command line names to the folder that it names."""
    site, folder = Path(sys.argv[1]), Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    for name in COMPANION_FILES:
        shutil.copyfile(site.parent / name, folder / name)
    for name in VARIANTS:
        (folder / f"{name}.toml").write_text(apply_variant(site.read_text(), name))


if __name__ == "__main__":
    main()
