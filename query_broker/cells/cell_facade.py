"""The decisions of one cell, whose timers share one queue with those of the other cells."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..decisions.facade import Facade, OrderBatch, Settings
from ..overriding import override
from ..timer_wheel import TimerWheel


class CellFacade(Facade):
    """The decisions of one cell.

    Attributes:
        cell: The name of the cell.
        endpoints: The numbers of the endpoints that are assigned to the cell.
        open_count: How many requests are open in the cell.
        dissolved: Whether the cell has been removed; its timers are then ignored.
    """

    def __init__(
        self,
        cell: str,
        seed: int,
        now_ns: int,
        settings: Settings,
        timer_wheel: TimerWheel,
        due_facades: deque[CellFacade],
    ) -> None:
        """Start the cell's decisions.

        Args:
            cell: The name of the cell.
            seed: The seed of its random draws.
            now_ns: The time.
            settings: The platform settings in force.
            timer_wheel: The timer wheel of all cells.
            due_facades: The queue that this facade joins for each timer that expires, so that the
                timers of all cells are handled in the order of the wheel.
        """
        self.cell = cell
        self.endpoints: set[int] = set()
        self.open_count = 0
        self.dissolved = False
        self._due_facades = due_facades
        super().__init__(settings, seed, now_ns, timer_wheel)

    @override
    def _timer_callback(self, token: int) -> Callable[[], None]:
        return lambda: self._timer_due(token)

    def _timer_due(self, token: int) -> None:
        if not self.dissolved:
            self.due.append(token)
            self._due_facades.append(self)


def extend_orders(orders: OrderBatch, more: OrderBatch) -> None:
    """Append the orders of one cell to those of other cells."""
    orders.options += more.options
    orders.dispatches += more.dispatches
    orders.answers += more.answers
    orders.cancellations += more.cancellations
    orders.health_checks += more.health_checks
