"""Text tables for the terminal. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

COLUMN_GAP = "  "


def table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table whose columns fit their widest cell; numbers are right-aligned.

    Args:
        header: The titles of the columns.
        rows: The cells of each row, one for each column.
    """
    all_rows = [list(header), *map(list, rows)]
    widths = [max(len(row[column]) for row in all_rows) for column in range(len(header))]
    return "\n".join(_format_row(row, widths) for row in all_rows)


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = []
    for cell, width in zip(row, widths, strict=True):
        cells.append(cell.rjust(width) if _is_number(cell) else cell.ljust(width))
    return COLUMN_GAP.join(cells).rstrip()


def _is_number(text: str) -> bool:
    return text.replace(".", "", 1).replace("%", "").isdigit()
