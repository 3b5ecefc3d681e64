"""Turns on the event loop: deficit round robin over the cells, in the time that each has taken.

After M. Shreedhar and G. Varghese, "Efficient Fair Queueing using Deficit Round Robin", 1995. A
cell that is alone may use the complete round. One that competes with others gets its share of it,
and what it took beyond that is carried on as debt. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping

#: Quanta of debt that are carried on: a single large read must not silence a cell for long.
MAX_DEBT_QUANTA = 4.0


class Turns:
    """The balances of all cells in the present round.

    Attributes:
        round_cost: What one round holds for all cells together, in the unit in which they spend.
        quanta: What each cell is credited with for a round.
        balance: What each cell may still spend; negative is debt.
        busy: The cells that have spent something in this round.
    """

    def __init__(self, weights: Mapping[str, float], round_cost: float) -> None:
        """Start a round with these cells and their weights."""
        self.round_cost = round_cost
        self.quanta: dict[str, float] = {}
        self.balance: dict[str, float] = {}
        self.busy: set[str] = set()
        self.set_weights(weights)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the cells and their weights; a cell that stays keeps its balance."""
        total = sum(weights.values()) or 1.0
        self.quanta = {name: self.round_cost * weight / total for name, weight in weights.items()}
        self.balance = {
            name: self.balance.get(name, quantum) for name, quantum in self.quanta.items()
        }

    def allowed(self, name: str) -> bool:
        """Return whether the cell may go on in this round.

        While no other cell is busy, waiting would help none of them, so a cell that is alone goes
        on until it has used the cost of the complete round.
        """
        balance = self.balance.get(name, 0.0)
        if balance > 0:
            return True
        alone = self.busy <= {name}
        return alone and balance > self.quanta.get(name, 0.0) - self.round_cost

    def charge(self, name: str, cost: float) -> None:
        """Charge a cell for what it has taken; a cell that is not known is not charged."""
        if name in self.balance:
            self.balance[name] -= cost
            self.busy.add(name)

    def round(self) -> None:
        """Begin a new round: each cell is credited with its quantum."""
        contended = len(self.busy) > 1
        for name, quantum in self.quanta.items():
            # Debt that was made alone has cost no other cell anything and is forgiven; debt that
            # was made while others were busy is paid back.
            floor = -MAX_DEBT_QUANTA * quantum if contended else 0.0
            carried = max(self.balance[name], floor)
            self.balance[name] = min(quantum, carried + quantum)
        self.busy.clear()
