"""What a statement does, by its first words, read past comments, strings and brackets.

Performs no I/O. It is no parser of the language: what cannot be told is reported as unknown, and
the rules for that hold.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

MOST_READ = 65_536  # characters; what decides stands at the front
SKIP = re.compile(r"(?:\s+|--[^\n]*(?:\n|$)|#[! ][^\n]*(?:\n|$)|/\*.*?\*/)+", re.S)
WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
PART = r"(?:`[^`]+`|\"[^\"]+\"|[A-Za-z_]\w*)"
NAME = re.compile(rf"{PART}(?:\s*\.\s*{PART})?")
MAIN = re.compile(
    r"'(?:[^'\\]|\\.|'')*'|`[^`]*`|\"[^\"]*\"|--[^\n]*|/\*.*?\*/|[()]|\b(?:SELECT|INSERT)\b",
    re.S | re.I,
)
TOKENS = re.compile(
    r"'(?:[^'\\]|\\.|'')*'|`[^`]*`|\"[^\"]*\"|--[^\n]*|/\*.*?\*/|\b(?:SETTINGS|FORMAT)\b|[();]",
    re.S | re.I,
)
READS = frozenset({"SELECT", "WITH", "SHOW", "DESCRIBE", "DESC", "EXISTS", "EXPLAIN", "CHECK"})
STICKS = frozenset({"SET", "USE"})


class StatementKind(Enum):
    """What a statement does."""

    READ = "read"
    WRITE = "write"  # INSERT
    CHANGE = "change"  # everything else that changes something
    SESSION = "session"  # SET, USE, temporary tables: tells on what comes after it in its session
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Statement:
    """What was read of a statement.

    ``first`` is its first word in capitals, empty where there is none; ``table`` that of an INSERT,
    as it stands.
    """

    first: str
    does: StatementKind
    table: str = ""
    settings: tuple[tuple[str, str], ...] = ()
    format: str = ""


def _past(text: str, at: int) -> int:
    found = SKIP.match(text, at)
    return found.end() if found else at


def _next_token(text: str, at: int) -> tuple[str, int]:
    """The word behind space, comments and opening brackets, in capitals."""
    at = _past(text, at)
    while text.startswith("(", at):
        at = _past(text, at + 1)
    found = WORD.match(text, at)
    return (found[0].upper(), found.end()) if found else ("", at)


def read(text: str) -> Statement:
    """Return what a statement does; this raises nothing.

    A statement that cannot be understood is UNKNOWN, and its engine says what is wrong.
    """
    text = text[:MOST_READ]
    first, at = _next_token(text, 0)
    if not first:
        return Statement("", StatementKind.UNKNOWN)
    if first == "INSERT":
        return _insert(text, at)
    second, _ = _next_token(text, at)
    third = _next_token(text, _next_token(text, at)[1])[0]
    settings, format = _tail(text)
    changes_temporary = "TEMPORARY" in (second, third) and first in ("CREATE", "DROP")
    if changes_temporary or (first in STICKS and second not in ("ROLE", "DEFAULT")):
        does = StatementKind.SESSION
    elif first == "WITH":
        does = StatementKind.WRITE if _main_verb(text) == "INSERT" else StatementKind.READ
    elif first in READS:
        does = StatementKind.READ
    else:
        does = StatementKind.CHANGE
    return Statement(first, does, "", settings, format)


def _insert(text: str, at: int) -> Statement:
    token, after = _next_token(text, at)
    if token == "INTO":
        at = after
        token, after = _next_token(text, at)
    if token == "TABLE":
        at = after
        token, after = _next_token(text, at)
    found = None if token == "FUNCTION" else NAME.match(text, _past(text, at))
    settings, format = _tail(text)
    return Statement("INSERT", StatementKind.WRITE, found[0] if found else "", settings, format)


def _main_verb(text: str) -> str:
    """Return SELECT or INSERT, whichever stands first outside brackets and strings."""
    depth = 0
    for found in MAIN.finditer(text):
        token = found[0].upper()
        depth += (token == "(") - (token == ")")
        if depth == 0 and token in ("SELECT", "INSERT"):
            return token
    return ""


def _tail(text: str) -> tuple[tuple[tuple[str, str], ...], str]:
    """`SETTINGS name = value, ...` and `FORMAT Name`, outside brackets and strings."""
    depth = 0
    settings: dict[str, str] = {}
    format = ""
    for found in TOKENS.finditer(text):
        token = found[0].upper()
        if token in "()":
            depth += (token == "(") - (token == ")")
        elif depth == 0 and token == "FORMAT":
            if name := re.compile(r"\s+([A-Za-z]\w*)").match(text, found.end()):
                format = name[1]
        elif depth == 0 and token == "SETTINGS":
            settings.update(_settings(text, found.end()))
    return tuple(settings.items()), format


def _settings(text: str, at: int) -> dict[str, str]:
    found: dict[str, str] = {}
    one = re.compile(r"\s*([A-Za-z_]\w*)\s*=\s*('(?:[^'\\]|\\.)*'|-?[\w.]+)\s*(,?)")
    while (match := one.match(text, at)) is not None:
        value = match[2]
        found[match[1]] = re.sub(r"\\(.)", r"\1", value[1:-1]) if value.startswith("'") else value
        at = match.end()
        if not match[3]:
            break
    return found
