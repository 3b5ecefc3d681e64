"""A statement's first words, read past comments, strings and brackets: what it does and whether it
sticks.

No parser of the language: what cannot be told is told as such, and goes by the rules for that.
Pure.
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


class Does(Enum):
    READ = "read"
    WRITE = "write"  # INSERT
    CHANGE = "change"  # everything else that changes something
    SESSION = "session"  # SET, USE, temporary tables: tells on what comes after it in its session
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Statement:
    """``first`` in capitals, empty where there is none; ``table`` of an INSERT, as it stands."""

    first: str
    does: Does
    table: str = ""
    settings: tuple[tuple[str, str], ...] = ()
    format: str = ""


def _past(text: str, at: int) -> int:
    found = SKIP.match(text, at)
    return found.end() if found else at


def _word(text: str, at: int) -> tuple[str, int]:
    """The word behind space, comments and opening brackets, in capitals."""
    at = _past(text, at)
    while text.startswith("(", at):
        at = _past(text, at + 1)
    found = WORD.match(text, at)
    return (found[0].upper(), found.end()) if found else ("", at)


def read(text: str) -> Statement:
    """Never raises: a statement that cannot be understood is UNKNOWN, and its engine says what is
    wrong.
    """
    text = text[:MOST_READ]
    first, at = _word(text, 0)
    if not first:
        return Statement("", Does.UNKNOWN)
    if first == "INSERT":
        return _insert(text, at)
    second, _ = _word(text, at)
    third = _word(text, _word(text, at)[1])[0]
    settings, format = _tail(text)
    if first in STICKS and second not in ("ROLE", "DEFAULT"):
        does = Does.SESSION
    elif "TEMPORARY" in (second, third) and first in ("CREATE", "DROP"):
        does = Does.SESSION
    elif first == "WITH":
        does = Does.WRITE if _main_word(text) == "INSERT" else Does.READ
    elif first in READS:
        does = Does.READ
    else:
        does = Does.CHANGE
    return Statement(first, does, "", settings, format)


def _insert(text: str, at: int) -> Statement:
    word, after = _word(text, at)
    if word == "INTO":
        at = after
        word, after = _word(text, at)
    if word == "TABLE":
        at = after
        word, after = _word(text, at)
    found = None if word == "FUNCTION" else NAME.match(text, _past(text, at))
    settings, format = _tail(text)
    return Statement("INSERT", Does.WRITE, found[0] if found else "", settings, format)


def _main_word(text: str) -> str:
    """Of `WITH ... SELECT` or `WITH ... INSERT`: the first of the two outside brackets and
    strings.
    """
    depth = 0
    for found in MAIN.finditer(text):
        token = found[0].upper()
        depth += (token == "(") - (token == ")")
        if depth == 0 and token in ("SELECT", "INSERT"):
            return token
    return ""


def _tail(text: str) -> tuple[tuple[tuple[str, str], ...], str]:
    """`SETTINGS name = value, ...` and `FORMAT Name`, outside brackets and strings."""
    depth, settings, format = 0, {}, ""
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
