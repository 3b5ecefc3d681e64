"""Finds the data set that a statement reads or writes. Performs no I/O."""

from __future__ import annotations

import re

# Strings and comments are matched first, so that nothing in them is mistaken for a schema name.
# Text in double quotes or backticks is a schema name only if a dot follows.
# What is cut off before its closing quote ends with the statement. If it failed to match instead,
# each quote in it would be tried as the start of another token, and the time could grow with the
# square of the length. The possessive quantifiers (`++`, `*+`) keep no positions to return to.
_TOKEN = re.compile(
    rb"""'(?:[^'\\]++|''|\\.)*+(?:'|\\?\Z) | --[^\n]*+ | /\*.*?(?:\*/|\Z)
       | "(?P<quoted>(?:[^"]++|"")*+)(?:"(?P<dot>\s*\.)?|\Z)
       | `(?P<ticked>[^`]*+)(?:`(?P<tick_dot>\s*\.)?|\Z)
       | (?<![\w.$]) (?P<bare>[A-Za-z_]\w*) \s* \. \s* (?=[A-Za-z_"`])""",
    re.X | re.S,
)
_SCHEMA_WITH_DATA_SET = re.compile(rb"[A-Za-z]\w*_(\d{1,9})\Z")
# Name of the staging schema of loads: the data set is taken from another schema in the statement.
_STAGING_SCHEMA = b"staging"
# Returned for a statement that names no data set.
NO_DATA_SET = -1


def data_set_of(statement: bytes) -> int:
    """Return the number of the statement's data set, or `NO_DATA_SET`.

    The number follows the underscore in the name of the first schema that has one.
    """
    for token in _TOKEN.finditer(statement):
        schema = _schema_of(token)
        if not schema or schema.lower() == _STAGING_SCHEMA:
            continue
        schema_match = _SCHEMA_WITH_DATA_SET.match(schema)
        if schema_match is not None:
            return int(schema_match[1])
    return NO_DATA_SET


def _schema_of(token: re.Match[bytes]) -> bytes | None:
    """Return the schema name that a token contains, or None."""
    if token["bare"]:
        return token["bare"]
    if token["dot"] and token["quoted"]:
        return token["quoted"]
    if token["tick_dot"]:
        return token["ticked"]
    return None
