"""Which group of tables a statement reads or writes."""

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


def table_group(statement: bytes) -> int:
    """The number behind the underscore of the schema's name; -1 where there is none."""
    for match in _TOKEN.finditer(statement):
        schema = (
            match["bare"]
            or (match["dot"] and match["quoted"])
            or (match["tick_dot"] and match["ticked"])
        )
        if not schema or schema.lower() == b"staging":
            continue
        if (group := _GROUP.match(schema)) is not None:
            return int(group[1])
    return -1
