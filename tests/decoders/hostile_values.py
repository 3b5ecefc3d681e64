"""JSON values that a decoder may receive, although no broker process writes them."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import strategies as st

NUMBERS = st.sampled_from(
    [float("nan"), float("inf"), float("-inf"), -1, 1 << 63, -(1 << 64), 10**400, 1.5, 1e308]
)
LEAVES = st.none() | st.booleans() | NUMBERS | st.text(max_size=8) | st.just("x" * (1 << 20))
VALUES: st.SearchStrategy[Any] = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)
#: Nested more deeply than a recursive decoder can read.
DEEPLY_NESTED_JSON = "[" * 100_000


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path to each value in a JSON value, with outer values before inner ones."""
    paths = [path]
    if isinstance(value, dict):
        for key, inner in value.items():
            paths += paths_of(inner, (*path, key))
    if isinstance(value, list):
        for index, inner in enumerate(value):
            paths += paths_of(inner, (*path, index))
    return paths


def replaced(value: Any, path: tuple[Any, ...], other: Any) -> Any:
    """Return a copy of a JSON value in which the value at ``path`` is replaced."""
    if not path:
        return other
    copy = json.loads(json.dumps(value))
    inner = copy
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = other
    return copy
