"""Deficit round robin over the cells, in the time that each has taken of the event loop.

After M. Shreedhar and G. Varghese, "Efficient Fair Queueing using Deficit Round Robin", 1995. A
cell that is alone may use the complete round. One that competes with others gets its fraction of
it, and what it took beyond that is carried on as debt. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping

#: Quanta of debt that are carried on: a single large read must not silence a cell for long.
MAX_CARRIED_DEBT_QUANTA = 4.0


class DeficitRoundRobin:
    """The balances of all cells in the present round.

    Attributes:
        round_cost: What one round holds for all cells together, in the unit in which they spend.
        quantum_by_cell: What each cell is credited with for a round.
        balance_by_cell: What each cell may still spend; negative is debt.
        active_cells: The cells that have spent something in this round.
    """

    def __init__(self, weights: Mapping[str, float], round_cost: float) -> None:
        """Start a round with these cells and their weights."""
        self.round_cost = round_cost
        self.quantum_by_cell: dict[str, float] = {}
        self.balance_by_cell: dict[str, float] = {}
        self.active_cells: set[str] = set()
        self.set_weights(weights)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the cells and their weights; a cell that stays keeps its balance."""
        total = sum(weights.values()) or 1.0
        quanta = {name: self.round_cost * weight / total for name, weight in weights.items()}
        balances = self.balance_by_cell
        self.quantum_by_cell = quanta
        self.balance_by_cell = {
            name: balances.get(name, quantum) for name, quantum in quanta.items()
        }

    def may_proceed(self, name: str) -> bool:
        """Return whether the cell may go on in this round.

        While no other cell is active, waiting would help none of them, so a cell that is alone goes
        on until it has used the cost of the complete round.
        """
        balance = self.balance_by_cell.get(name, 0.0)
        if balance > 0:
            return True
        alone = self.active_cells <= {name}
        return alone and balance > self.quantum_by_cell.get(name, 0.0) - self.round_cost

    def charge(self, name: str, cost: float) -> None:
        """Charge a cell for what it has taken; a cell that is not known is not charged."""
        if name in self.balance_by_cell:
            self.balance_by_cell[name] -= cost
            self.active_cells.add(name)

    def begin_round(self) -> None:
        """Begin a new round: each cell is credited with its quantum."""
        contended = len(self.active_cells) > 1
        for name, quantum in self.quantum_by_cell.items():
            # Debt that was made alone has cost no other cell anything and is forgiven; debt that
            # was made while others were active is paid back.
            floor = -MAX_CARRIED_DEBT_QUANTA * quantum if contended else 0.0
            carried = max(self.balance_by_cell[name], floor)
            self.balance_by_cell[name] = min(quantum, carried + quantum)
        self.active_cells.clear()
