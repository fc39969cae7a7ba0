"""Whole numbers for names, from 0 up, for use as array indices; numbers of dropped names are used again."""


class Slots:
    """Numbers in use by name, and names by number (None where the number is free)."""

    def __init__(self) -> None:
        self.number_of: dict[str, int] = {}
        self.names: list[str | None] = []
        self._free: list[int] = []

    def take(self, name: str) -> int:
        """A number for a name that has none yet."""
        if self._free:
            number = self._free.pop()
            self.names[number] = name
        else:
            number = len(self.names)
            self.names.append(name)
        self.number_of[name] = number
        return number

    def release(self, name: str) -> int:
        """The number that the name had and that is free now. A name without a number is a KeyError."""
        number = self.number_of.pop(name)
        self.names[number] = None
        self._free.append(number)
        return number
