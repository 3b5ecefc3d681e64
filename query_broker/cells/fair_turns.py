"""Whose turn it is on the one loop: deficit round robin over the cells, in time that was taken.

M. Shreedhar and G. Varghese, "Efficient Fair Queueing using Deficit Round Robin", 1995. A cell
alone may use the whole of a round; one that is crowded by others gets its share of it, and its debt
is carried on.
"""

from __future__ import annotations

from collections.abc import Mapping

MOST_DEBT = 4.0  # quanta; a single large read must not silence a cell for long


class Turns:
    """``whole``: what one round holds for all cells together, in the unit in which they spend."""

    def __init__(self, shares: Mapping[str, float], whole: float) -> None:
        self.whole = whole
        self.quanta: dict[str, float] = {}
        self.left: dict[str, float] = {}
        self.busy: set[str] = set()  # cells that spent something in this round
        self.take(shares)

    def take(self, shares: Mapping[str, float]) -> None:
        every = sum(shares.values()) or 1.0
        self.quanta = {name: self.whole * share / every for name, share in shares.items()}
        self.left = {name: self.left.get(name, quantum) for name, quantum in self.quanta.items()}

    def allowed(self, name: str) -> bool:
        """Whether the cell may go on in this round. Danger: with nobody else about, waiting helps
        nobody: a cell alone goes on to the end of the round's whole cost.
        """
        left = self.left.get(name, 0.0)
        if left > 0:
            return True
        return self.busy <= {name} and left > self.quanta.get(name, 0.0) - self.whole

    def spent(self, name: str, cost: float) -> None:
        if name in self.left:
            self.left[name] -= cost
            self.busy.add(name)

    def round(self) -> None:
        """A new round begins."""
        crowded = len(self.busy) > 1
        for name, quantum in self.quanta.items():
            left = self.left[name]
            # Debt made alone is nobody's loss; debt made beside others is paid back.
            base = max(left, -MOST_DEBT * quantum) if crowded else max(left, 0.0)
            self.left[name] = min(quantum, base + quantum)
        self.busy.clear()
