"""Reads typed values from JSON objects; every error names the key. Performs no I/O."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from .errors import InvalidValueError, MissingKeyError

#: Largest absolute value of a number; infinity and NaN are rejected by the same comparison.
MAX_NUMBER = 1e18

#: Characters of an invalid value that an error quotes, so that the error stays one line.
MAX_QUOTED_CHARACTERS = 60

Value = TypeVar("Value")


class ValueKind(Enum):
    """The kinds of JSON values; each enum value is the name of the kind in errors."""

    TEXT = "text"
    OBJECT = "object"
    LIST = "list"
    BOOLEAN = "bool"
    NUMBER = "number"
    INTEGER = "whole number"


def _is_number(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return abs(value) <= MAX_NUMBER


def _is_of_kind(value: Any, kind: ValueKind) -> bool:
    match kind:
        case ValueKind.TEXT:
            return isinstance(value, str)
        case ValueKind.OBJECT:
            return isinstance(value, dict)
        case ValueKind.LIST:
            return isinstance(value, list)
        case ValueKind.BOOLEAN:
            return isinstance(value, bool)
        case ValueKind.NUMBER:
            return _is_number(value)
        case ValueKind.INTEGER:
            return _is_number(value) and bool(value == int(value))


def check_kind(value: Any, kind: ValueKind, key: str) -> Any:
    """Return the value if it is of a kind; a whole number as ``int``.

    Args:
        value: Value from the JSON reader; None stands for null and for an absent key.
        kind: The required kind.
        key: The dotted key that an error names.

    Raises:
        MissingKeyError: The value is None.
        InvalidValueError: The value is of a different kind.
    """
    if value is None:
        raise MissingKeyError(key)
    if not _is_of_kind(value, kind):
        quoted = json.dumps(value)[:MAX_QUOTED_CHARACTERS]
        raise InvalidValueError(key, f"{quoted} is no {kind.value}")
    if kind is ValueKind.INTEGER:
        return int(value)
    return value


def look_up(name: str, values_by_name: Mapping[str, Value], key: str) -> Value:
    """Return the value that a name in the configuration stands for.

    Args:
        name: The name.
        values_by_name: The values of all valid names.
        key: The dotted key that an error names.

    Raises:
        InvalidValueError: The name is not valid.
    """
    if name not in values_by_name:
        raise InvalidValueError(key, f"unknown value {name!r}")
    return values_by_name[name]


@dataclass(frozen=True, slots=True)
class Section:
    """Reads the keys of one JSON object of the configuration.

    In each method a ``default`` of None means that the key is required. A key whose value is null
    counts as absent. The errors are those of ``check_kind``.

    Attributes:
        values: The object from the JSON reader.
        path: The dotted path of the object; empty for the outermost object.
    """

    values: Mapping[str, Any]
    path: str = ""

    def key(self, name: str) -> str:
        """Return the dotted key of a key of this object."""
        return f"{self.path}.{name}" if self.path else name

    def has_value(self, name: str) -> bool:
        """Whether the key is present and not null."""
        return self.values.get(name) is not None

    def value(self, name: str, kind: ValueKind, default: Any = None) -> Any:
        """Return the value of a key, checked for its kind."""
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        return check_kind(value, kind, self.key(name))

    def text(self, name: str, default: str | None = None) -> str:
        """Return the text of a key."""
        text: str = self.value(name, ValueKind.TEXT, default)
        return text

    def boolean(self, name: str, default: bool | None = None) -> bool:
        """Return the boolean of a key."""
        boolean: bool = self.value(name, ValueKind.BOOLEAN, default)
        return boolean

    def number(self, name: str, default: float | None = None) -> float:
        """Return the finite number of a key."""
        number: float = self.value(name, ValueKind.NUMBER, default)
        return number

    def integer(self, name: str, default: int | None = None) -> int:
        """Return the whole number of a key; 5.0 counts as a whole number."""
        number: int = self.value(name, ValueKind.INTEGER, default)
        return number

    def list_of(self, name: str, kind: ValueKind) -> list[Any]:
        """Return the entries of a list, checked for their kind; empty if the key is absent."""
        entries: list[Any] = self.value(name, ValueKind.LIST, [])
        return [check_kind(entry, kind, self.key(name)) for entry in entries]

    def entries(self, name: str, default: list[Any] | None = None) -> list[Any]:
        """Return the unchecked entries of a list."""
        entries: list[Any] = self.value(name, ValueKind.LIST, default)
        return entries

    def section(self, name: str) -> Section:
        """Return a reader of the object of a key; the object is empty if the key is absent."""
        return Section(self.value(name, ValueKind.OBJECT, {}), self.key(name))
