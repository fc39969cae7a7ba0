"""The controller's configuration: a JSON file that the environment variable EDGE_CONFIG names."""

import json
import os
from collections.abc import Callable, Mapping
from typing import TypeVar

from oatcart.errors import ConnectionClosedError, InvalidConfigurationError

ENVIRONMENT_VARIABLE = "EDGE_CONFIG"

# Raised when a field is read whose value is invalid. RecursionError: JSON that is nested too deeply;
# ConnectionClosedError: an invalid endpoint list.
_READING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
    RecursionError,
    ConnectionClosedError,
    OSError,
)

Value = TypeVar("Value")


def read_field(table: Mapping, field: str, parse: Callable[[object], Value]) -> Value:
    """Return the parsed value of a field; raises InvalidConfigurationError, which names the field."""
    try:
        return parse(table[field])
    except _READING_ERRORS as error:
        missing = isinstance(error, KeyError)
        problem = f"{error} is missing" if missing else str(error) or type(error).__name__
        raise InvalidConfigurationError.of_field(field, problem) from None


def read_configuration() -> dict:
    """Return the fields of the file, not yet parsed; raises InvalidConfigurationError."""
    return read_field(os.environ, ENVIRONMENT_VARIABLE, _read_file)


def read_descriptors(configuration: Mapping) -> int:
    """Return how many descriptors the process may use; raises InvalidConfigurationError."""
    return read_field(configuration, "limits", lambda limits: int(limits["sockets"]))


def _read_file(path: str) -> dict:
    with open(path, encoding="utf-8") as file:
        try:
            return dict(json.load(file))
        except (TypeError, ValueError) as error:
            raise ValueError(f"{path}: {error}") from None
