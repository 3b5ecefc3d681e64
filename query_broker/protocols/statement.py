"""Finds the data set that a statement reads or writes. Performs no I/O."""

from __future__ import annotations

import re

# Strings and comments are matched first, so that nothing in them is mistaken for a schema name.
# Text in double quotes or backticks is a schema name only if a dot follows.
# What is cut off before its closing quote ends with the statement. If it failed to match instead,
# each quote in it would be tried as the start of another token, and the time could grow with the
# square of the length. The possessive quantifiers (`++`, `*+`) keep no positions to return to.
# Only a schema with a data set fills a group: the staging schema of loads has none.
_TOKEN = re.compile(
    rb"""'(?:[^'\\]++|''|\\.)*+(?:'|\\?\Z) | --[^\n]*+ | /\*.*?(?:\*/|\Z)
       | "[A-Za-z]\w*_(\d{1,9})"\s*\. | "(?:[^"]++|"")*+(?:"|\Z)
       | `[A-Za-z]\w*_(\d{1,9})`\s*\. | `[^`]*+(?:`|\Z)
       | (?<![\w.$]) (?:[A-Za-z]\w*_(\d{1,9}) | [A-Za-z_]\w*+) \s*+ \. \s*+ (?=[A-Za-z_"`])""",
    re.X | re.S,
)
# The end of the name of a schema with a data set; a statement without one is not searched further.
_DATA_SET_SUFFIX = re.compile(rb"_\d")
# Searching a statement to its end would take tens of milliseconds for the largest ones, during
# which all other clients wait.
MAX_SEARCHED_BYTES = 16_384
# Returned for a statement that names no data set.
NO_DATA_SET = -1


def data_set_of(statement: bytes) -> int:
    """Return the number of the statement's data set, or `NO_DATA_SET`.

    The number follows the underscore in the name of the first schema that has one, within the first
    `MAX_SEARCHED_BYTES` bytes.
    """
    if _DATA_SET_SUFFIX.search(statement, 0, MAX_SEARCHED_BYTES) is None:
        return NO_DATA_SET
    for token in _TOKEN.finditer(statement, 0, MAX_SEARCHED_BYTES):
        if token.lastindex is not None:
            return int(token[token.lastindex])
    return NO_DATA_SET
