"""Text tables for the terminal. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

COLUMN_GAP = "  "


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table whose columns are as wide as they need to be, with numbers to the right.

    Args:
        head: The titles of the columns.
        rows: The cells of each row, as many as there are titles.
    """
    lines = [list(head), *map(list, rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    return "\n".join(_row(line, widths) for line in lines)


def _row(line: Sequence[str], widths: Sequence[int]) -> str:
    texts = []
    for text, width in zip(line, widths, strict=True):
        texts.append(text.rjust(width) if _is_number(text) else text.ljust(width))
    return COLUMN_GAP.join(texts).rstrip()


def _is_number(text: str) -> bool:
    return text.replace(".", "", 1).replace("%", "").isdigit()
