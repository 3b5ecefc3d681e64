"""Typed reading of JSON values; every error names the key. Performs no I/O."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from .errors import InvalidValueError, MissingKeyError

#: Largest absolute value of a number; infinity and NaN are rejected by the same comparison.
MAX_NUMBER = 1e18

#: Characters of a faulty value that an error quotes, so that it stays one line.
MAX_QUOTED_CHARACTERS = 60

Meaning = TypeVar("Meaning")


class ValueKind(Enum):
    """The kinds of JSON values; the value of each is its name in an error."""

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


def _fits(value: Any, kind: ValueKind) -> bool:
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


def checked(value: Any, kind: ValueKind, key: str) -> Any:
    """Return a value that is of this kind; a whole number as ``int``.

    Args:
        value: As the JSON reader gave it; None stands for null and for an absent key.
        kind: The required kind.
        key: The dotted key that an error names.

    Raises:
        MissingKeyError: The value is None.
        InvalidValueError: The value is of another kind.
    """
    if value is None:
        raise MissingKeyError(key)
    if not _fits(value, kind):
        quoted = json.dumps(value)[:MAX_QUOTED_CHARACTERS]
        raise InvalidValueError(key, f"{quoted} is no {kind.value}")
    if kind is ValueKind.INTEGER:
        return int(value)
    return value


def meaning_of(value: str, meanings: Mapping[str, Meaning], key: str) -> Meaning:
    """Look up the meaning of a text.

    Args:
        value: The text.
        meanings: The meaning of each valid text.
        key: The dotted key that an error names.

    Raises:
        InvalidValueError: The text is not valid.
    """
    if value not in meanings:
        raise InvalidValueError(key, f"unknown value {value!r}")
    return meanings[value]


@dataclass(frozen=True, slots=True)
class Section:
    """One JSON object of the configuration, read key by key.

    In each method a ``default`` of None means that the key is required. A key that holds null
    counts as absent. The errors are those of ``checked``.

    Attributes:
        values: The object, as the JSON reader gave it.
        path: The dotted path of the object, empty for the outermost.
    """

    values: Mapping[str, Any]
    path: str = ""

    def key(self, name: str) -> str:
        """The dotted key of a member of this object."""
        return f"{self.path}.{name}" if self.path else name

    def holds(self, name: str) -> bool:
        """Whether the key is there and not null."""
        return self.values.get(name) is not None

    def value(self, name: str, kind: ValueKind, default: Any = None) -> Any:
        """The value of a key, checked for its kind."""
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        return checked(value, kind, self.key(name))

    def text(self, name: str, default: str | None = None) -> str:
        """A text."""
        text: str = self.value(name, ValueKind.TEXT, default)
        return text

    def boolean(self, name: str, default: bool | None = None) -> bool:
        """True or false."""
        boolean: bool = self.value(name, ValueKind.BOOLEAN, default)
        return boolean

    def number(self, name: str, default: float | None = None) -> float:
        """A finite number."""
        number: float = self.value(name, ValueKind.NUMBER, default)
        return number

    def integer(self, name: str, default: int | None = None) -> int:
        """A whole number; 5.0 counts as one."""
        number: int = self.value(name, ValueKind.INTEGER, default)
        return number

    def list_of(self, name: str, kind: ValueKind) -> list[Any]:
        """The entries of a list, each checked for its kind; empty if the key is absent."""
        entries: list[Any] = self.value(name, ValueKind.LIST, [])
        return [checked(entry, kind, self.key(name)) for entry in entries]

    def entries(self, name: str, default: list[Any] | None = None) -> list[Any]:
        """The entries of a list, not checked yet."""
        entries: list[Any] = self.value(name, ValueKind.LIST, default)
        return entries

    def section(self, name: str) -> Section:
        """The object under a key; empty if the key is absent."""
        return Section(self.value(name, ValueKind.OBJECT, {}), self.key(name))
