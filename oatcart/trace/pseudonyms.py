"""Replaces names and keys by pseudonyms, for a trace that is given to outsiders."""

from collections import Counter
from hashlib import blake2b

from oatcart.trace.records import Record, RecordKind
from oatcart.trace.round_codec import CommandName

PSEUDONYM_LENGTH = 12  # hex digits; enough that a million names do not collide
# The type of the name in each field; equal names of one type get equal pseudonyms
NAME_FIELDS = {
    "proxy": "proxy",
    "node": "node",
    "zone": "zone",
    "instance": "instance",
    "to": "peer",
    "of": "peer",
}
KEY_FIELDS = ("key", "link")


class Pseudonymizer:
    """Replaces the names and keys of records, and drops free text.

    The pseudonyms are hashes keyed with a secret of this export: equal names get equal pseudonyms within it,
    which cannot be linked to those of another export. Request classes, outcomes and errors are kept, as they
    identify nobody. `replaced` counts by type of name, `dropped` by command.
    """

    def __init__(self, secret: bytes) -> None:
        self.secret = secret
        self.replaced: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()

    def pseudonym(self, name_type: str, value: str | bytes) -> str:
        """Return the pseudonym of a name or key of a type."""
        data = value if isinstance(value, bytes) else value.encode()
        self.replaced[name_type] += 1
        digest = blake2b(data, key=self.secret, person=name_type.encode()[:16], digest_size=16)
        return digest.hexdigest()[:PSEUDONYM_LENGTH]

    def replace(self, record: Record) -> Record:
        """Return the record with names and keys replaced, and without free text."""
        fields = dict(record.fields)
        for field, name_type in NAME_FIELDS.items():
            if fields.get(field):
                fields[field] = self.pseudonym(name_type, fields[field])
        for field in KEY_FIELDS:
            if fields.get(field):
                fields[field] = self.pseudonym(field, fields[field]).encode()
        if record.kind == RecordKind.ENDPOINT_NAME:
            fields["name"] = self.pseudonym(fields["what"], fields["name"])
        elif record.kind == RecordKind.START:
            fields["names"] = self._replace_start_names(fields["names"])
        elif record.kind == RecordKind.ROUND:
            fields["orders"] = self._without_free_text(fields["orders"])
        if "witnesses" in fields:
            fields["witnesses"] = [self.pseudonym("instance", name) for name in fields["witnesses"]]
        return Record(record.kind, fields)

    def _replace_start_names(self, names: dict) -> dict:
        """Return the names of a start record with zone names replaced; names of request classes are kept."""
        zones = [self.pseudonym("zone", zone) for zone in names.get("zones", ())]
        return {"kinds": names.get("kinds", ()), "zones": zones}

    def _without_free_text(self, commands: list[tuple]) -> list[tuple]:
        """Return the stored commands of a round without its log lines."""
        kept = [command for command in commands if command[0] != CommandName.LOG]
        self.dropped[CommandName.LOG] += len(commands) - len(kept)
        return kept
