"""Maps names to array indices from 0; indices of removed names are reused."""


class NameIndex:
    """The index of each name, and the name at each index (None if the index is free)."""

    def __init__(self) -> None:
        self.index_of: dict[str, int] = {}
        self.names: list[str | None] = []
        self._free: list[int] = []

    def allocate(self, name: str) -> int:
        """Allocates and returns an index for a name that has none."""
        if self._free:
            index = self._free.pop()
            self.names[index] = name
        else:
            index = len(self.names)
            self.names.append(name)
        self.index_of[name] = index
        return index

    def release(self, name: str) -> int:
        """Frees the index of a name and returns it. Raises KeyError if the name has none."""
        index = self.index_of.pop(name)
        self.names[index] = None
        self._free.append(index)
        return index
