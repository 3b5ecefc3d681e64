"""Which group of tables a statement reads or writes. Performs no I/O."""

from __future__ import annotations

import re

# Strings and comments are matched first, so that nothing within them is taken for a name; what
# stands in double quotes or backticks is a name only where a dot follows.
_TOKEN = re.compile(
    rb"""'(?:[^'\\]|''|\\.)*(?:'|\Z) | --[^\n]* | /\*.*?(?:\*/|\Z)
       | "(?P<quoted>(?:[^"]|"")*)"(?P<dot>\s*\.)? | `(?P<ticked>[^`]*)`(?P<tick_dot>\s*\.)?
       | (?<![\w.$]) (?P<bare>[A-Za-z_]\w*) \s* \. \s* (?=[A-Za-z_"`])""",
    re.X | re.S,
)
_GROUP = re.compile(rb"[A-Za-z]\w*_(\d{1,9})\Z")
# A schema that loads write through; the group is that of another name in the statement.
_STAGING = b"staging"
# What stands for a statement that names no group.
NO_GROUP = -1


def table_group(statement: bytes) -> int:
    """Return the number behind the underscore of the schema's name, or `NO_GROUP`."""
    for match in _TOKEN.finditer(statement):
        schema = _schema_of(match)
        if not schema or schema.lower() == _STAGING:
            continue
        group = _GROUP.match(schema)
        if group is not None:
            return int(group[1])
    return NO_GROUP


def _schema_of(match: re.Match[bytes]) -> bytes | None:
    """Return the schema's name that a token holds, if it is one."""
    if match["bare"]:
        return match["bare"]
    if match["dot"] and match["quoted"]:
        return match["quoted"]
    if match["tick_dot"]:
        return match["ticked"]
    return None
