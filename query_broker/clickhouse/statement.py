"""Classifies statements by their first words, skipping comments, strings and brackets.

Performs no I/O. This is not a parser of the SQL dialect: a statement that cannot be recognised is
reported as unknown, and the rules for unknown statements apply.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

#: The most characters of a statement that are read; its beginning shows what it does.
MAX_READ_CHARACTERS = 65_536
BLANK_OR_COMMENT = re.compile(r"(?:\s+|--[^\n]*(?:\n|$)|#[! ][^\n]*(?:\n|$)|/\*.*?\*/)+", re.S)
WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
IDENTIFIER = r"(?:`[^`]+`|\"[^\"]+\"|[A-Za-z_]\w*)"
TABLE_NAME = re.compile(rf"{IDENTIFIER}(?:\s*\.\s*{IDENTIFIER})?")
#: Strings, quoted names and comments, in which no keyword counts. A string or comment that is cut
#: off ends with the text: if it failed to match there, each quote in it would be tried as the start
#: of another string, and the time would grow with the square of the length.
QUOTED_OR_COMMENT = (
    r"'(?:[^'\\]++|\\.|'')*+(?:'|\\?\Z)|`[^`]*`|\"[^\"]*\"|--[^\n]*|/\*.*?(?:\*/|\Z)"
)
MAIN_VERB_TOKEN = re.compile(rf"{QUOTED_OR_COMMENT}|[()]|\b(?:SELECT|INSERT)\b", re.S | re.I)
CLAUSE_TOKEN = re.compile(rf"{QUOTED_OR_COMMENT}|\b(?:SETTINGS|FORMAT)\b|[();]", re.S | re.I)
FORMAT_NAME = re.compile(r"\s+([A-Za-z]\w*)")
#: One setting: its name, its value, and a comma if another setting follows.
ASSIGNMENT = re.compile(r"\s*([A-Za-z_]\w*)\s*=\s*('(?:[^'\\]|\\.)*'|-?[\w.]+)\s*(,?)")
ESCAPED_CHARACTER = re.compile(r"\\(.)")
READING_VERBS = frozenset(
    {"SELECT", "WITH", "SHOW", "DESCRIBE", "DESC", "EXISTS", "EXPLAIN", "CHECK"}
)
SESSION_VERBS = frozenset({"SET", "USE"})
#: After a session verb these words make the statement change a user instead of the session.
USER_WORDS = ("ROLE", "DEFAULT")
TEMPORARY_VERBS = ("CREATE", "DROP")


class StatementKind(Enum):
    """What a statement does."""

    READ = "read"
    WRITE = "write"  # INSERT
    CHANGE = "change"  # all other statements that change something
    SESSION = "session"  # SET, USE, temporary tables: affects later statements of the session
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Statement:
    """The recognised parts of a statement.

    Attributes:
        verb: The first word in upper case; empty if there is none.
        kind: What the statement does.
        table: The table of an INSERT, as written.
        settings: The names and values of the SETTINGS clause.
        format: The format of the FORMAT clause; empty if there is none.
    """

    verb: str
    kind: StatementKind
    table: str = ""
    settings: tuple[tuple[str, str], ...] = ()
    format: str = ""


class _Token(NamedTuple):
    """A word in upper case (empty if there is none) and the position after it."""

    text: str
    end: int


class _Clauses(NamedTuple):
    """The SETTINGS and FORMAT clauses of a statement."""

    settings: tuple[tuple[str, str], ...]
    format: str


def _skip_blank(text: str, position: int) -> int:
    """Return the position after white space and comments."""
    match = BLANK_OR_COMMENT.match(text, position)
    return match.end() if match else position


def _next_token(text: str, position: int) -> _Token:
    """Return the next word after white space, comments and opening brackets."""
    position = _skip_blank(text, position)
    while text.startswith("(", position):
        position = _skip_blank(text, position + 1)
    match = WORD.match(text, position)
    if match is None:
        return _Token("", position)
    return _Token(match[0].upper(), match.end())


def parse_statement(text: str) -> Statement:
    """Return the recognised parts of a statement; never raises.

    A statement that cannot be recognised is UNKNOWN; the engine reports what is wrong with it.
    """
    text = text[:MAX_READ_CHARACTERS]
    verb, position = _next_token(text, 0)
    if not verb:
        return Statement("", StatementKind.UNKNOWN)
    if verb == "INSERT":
        return _parse_insert(text, position)
    second, position = _next_token(text, position)
    third, _ = _next_token(text, position)
    kind = _kind_of(text, verb, second, third)
    clauses = _read_clauses(text)
    return Statement(verb, kind, "", clauses.settings, clauses.format)


def _kind_of(text: str, verb: str, second: str, third: str) -> StatementKind:
    if verb in TEMPORARY_VERBS and "TEMPORARY" in (second, third):
        return StatementKind.SESSION
    if verb in SESSION_VERBS and second not in USER_WORDS:
        return StatementKind.SESSION
    if verb == "WITH" and _main_verb(text) == "INSERT":
        return StatementKind.WRITE
    if verb in READING_VERBS:
        return StatementKind.READ
    return StatementKind.CHANGE


def _parse_insert(text: str, position: int) -> Statement:
    """Return the parts of an INSERT; INTO and TABLE before the table name are optional."""
    token, end = _next_token(text, position)
    for optional_word in ("INTO", "TABLE"):
        if token == optional_word:
            position = end
            token, end = _next_token(text, position)
    table = ""
    if token != "FUNCTION":
        match = TABLE_NAME.match(text, _skip_blank(text, position))
        table = match[0] if match else ""
    clauses = _read_clauses(text)
    return Statement("INSERT", StatementKind.WRITE, table, clauses.settings, clauses.format)


def _main_verb(text: str) -> str:
    """Return SELECT or INSERT, whichever occurs first outside brackets and strings."""
    depth = 0
    for match in MAIN_VERB_TOKEN.finditer(text):
        token = match[0].upper()
        depth += _depth_change(token)
        if depth == 0 and token in ("SELECT", "INSERT"):
            return token
    return ""


def _depth_change(token: str) -> int:
    match token:
        case "(":
            return 1
        case ")":
            return -1
        case _:
            return 0


def _read_clauses(text: str) -> _Clauses:
    """Read `SETTINGS name = value, ...` and `FORMAT Name`, outside brackets and strings."""
    depth = 0
    settings: dict[str, str] = {}
    format_name = ""
    for match in CLAUSE_TOKEN.finditer(text):
        token = match[0].upper()
        depth += _depth_change(token)
        if depth != 0:
            continue
        if token == "FORMAT":
            name = FORMAT_NAME.match(text, match.end())
            if name is not None:
                format_name = name[1]
        elif token == "SETTINGS":
            settings.update(_read_assignments(text, match.end()))
    return _Clauses(tuple(settings.items()), format_name)


def _read_assignments(text: str, position: int) -> dict[str, str]:
    """Return the settings of a SETTINGS clause, from the position after the keyword."""
    settings: dict[str, str] = {}
    while True:
        match = ASSIGNMENT.match(text, position)
        if match is None:
            return settings
        name, value, comma = match.groups()
        if value.startswith("'"):
            value = ESCAPED_CHARACTER.sub(r"\1", value[1:-1])
        settings[name] = value
        if not comma:
            return settings
        position = match.end()
