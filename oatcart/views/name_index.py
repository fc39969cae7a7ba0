"""Whole numbers for names, from 0 up, for use as array indices; numbers of dropped names are used again."""


class NameIndex:
    """Numbers in use by name, and names by number (None where the number is free)."""

    def __init__(self) -> None:
        self.index_of: dict[str, int] = {}
        self.names: list[str | None] = []
        self._free: list[int] = []

    def allocate(self, name: str) -> int:
        """A number for a name that has none yet."""
        if self._free:
            index = self._free.pop()
            self.names[index] = name
        else:
            index = len(self.names)
            self.names.append(name)
        self.index_of[name] = index
        return index

    def release(self, name: str) -> int:
        """The number that the name had and that is free now. A name without a number is a KeyError."""
        index = self.index_of.pop(name)
        self.names[index] = None
        self._free.append(index)
        return index
