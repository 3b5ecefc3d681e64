"""Measured values, their bounds, and the exit code."""

from __future__ import annotations


class Results:
    """Prints each value when it is recorded; the exit code is 1 if any bound is broken.

    Attributes:
        broken: Names of the values that break their bound.
    """

    def __init__(self) -> None:
        """Create results without values."""
        self.broken: list[str] = []

    def record(
        self,
        name: str,
        value: float,
        *,
        at_most: float | None = None,
        at_least: float | None = None,
    ) -> None:
        """Print a value, with its bound if it has one.

        Args:
            name: Name of the value.
            value: What was measured.
            at_most: Upper bound, if any.
            at_least: Lower bound, if any.
        """
        line = f"{name}={_format(value)}"
        if at_most is not None:
            line += f"  # bound: at most {at_most}"
        elif at_least is not None:
            line += f"  # bound: at least {at_least}"
        if _is_broken(value, at_most, at_least):
            line += " BROKEN"
            self.broken.append(name)
        print(line, flush=True)

    def exit_code(self) -> int:
        """Return the exit code of the benchmark."""
        return 1 if self.broken else 0


def _format(value: float) -> str:
    if isinstance(value, float):
        return f"{value:.4f}".rstrip("0").rstrip(".")
    return str(value)


def _is_broken(value: float, at_most: float | None, at_least: float | None) -> bool:
    if at_most is not None and value > at_most:
        return True
    return at_least is not None and value < at_least
