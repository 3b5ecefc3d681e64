"""Work that a cell did not dispatch and that its endpoints carry all the same.

An endpoint may carry work of the broker's other processes, and, after it has changed cells, work of
its former cell. Both are reported to the cell that has it now as the load of co-processes, or the
endpoint would get two limits' worth of work. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..decisions.facade import CoProcessLoad, OrderBatch, OutstandingWork
from .cell_facade import CellFacade, extend_orders

NO_WORK = OutstandingWork(0, 0, 0)


class CarriedWork(NamedTuple):
    """What former cells dispatched to an endpoint while it was warming up.

    Attributes:
        warmup_ns: The work, in thread-nanoseconds.
        until_ns: Until when it counts.
    """

    warmup_ns: int
    until_ns: int


class OutstandingWorkTracker:
    """Reports to each cell what others have outstanding on its endpoints.

    Attributes:
        co_processes: The last report of the broker's other processes.
        endpoints_with_former_work: Endpoints on which a former cell has something outstanding.
        carried_work: What former cells dispatched to endpoints that were warming up.
    """

    def __init__(self, facades: Mapping[str, CellFacade]) -> None:
        """Start without other work; ``facades`` are the cells, by their name."""
        self._facades = facades
        self.co_processes = CoProcessLoad({}, 1)
        self.endpoints_with_former_work: set[int] = set()
        self.carried_work: dict[int, CarriedWork] = {}

    def endpoint_left(self, number: int, outstanding: OutstandingWork, until_ns: int) -> None:
        """Note what a cell has outstanding on an endpoint that leaves it.

        What it dispatched while the endpoint was warming up counts in the next cell until
        ``until_ns``: each cell with a warm-up budget of its own would overload the endpoint.
        """
        self.endpoints_with_former_work.add(number)
        if outstanding.warmup_ns:
            earlier = self.carried_work.get(number)
            warmup_ns = outstanding.warmup_ns + (earlier.warmup_ns if earlier else 0)
            self.carried_work[number] = CarriedWork(warmup_ns, until_ns)

    def publish(self, now_ns: int, orders: OrderBatch) -> None:
        """Report to every cell what others have outstanding on its endpoints."""
        former = self._work_of_former_cells(now_ns)
        processes = self.co_processes.accepting_processes
        for facade in self._facades.values():
            outstanding = {
                number: work
                for number, work in self.co_processes.outstanding.items()
                if number in facade.endpoints
            }
            for number in former.keys() & facade.endpoints:
                outstanding[number] = _sum_work(outstanding.get(number, NO_WORK), former[number])
            load = CoProcessLoad(outstanding, processes)
            extend_orders(orders, facade.report(now_ns, load))

    def _work_of_former_cells(self, now_ns: int) -> dict[int, OutstandingWork]:
        former: dict[int, OutstandingWork] = {}
        for number in list(self.endpoints_with_former_work):
            work = self._with_carried(number, self._work_of_other_cells(number, now_ns), now_ns)
            if work == NO_WORK:
                self.endpoints_with_former_work.discard(number)
            else:
                former[number] = work
        return former

    def _work_of_other_cells(self, number: int, now_ns: int) -> OutstandingWork:
        """Return what cells other than the endpoint's present one have outstanding on it."""
        work = NO_WORK
        for facade in self._facades.values():
            if number in facade.controller.endpoints and number not in facade.endpoints:
                work = _sum_work(work, facade.outstanding(now_ns).get(number, NO_WORK))
        return work

    def _with_carried(self, number: int, work: OutstandingWork, now_ns: int) -> OutstandingWork:
        carried = self.carried_work.get(number)
        if carried is None:
            return work
        if now_ns >= carried.until_ns:
            del self.carried_work[number]
            return work
        # What the former cell still accounts as dispatched during the warm-up is the same work.
        warmup_ns = max(work.warmup_ns, carried.warmup_ns)
        return OutstandingWork(work.threads, work.backlog_ns, warmup_ns)

    def total(self, now_ns: int) -> dict[int, OutstandingWork]:
        """Return what all cells of this process have outstanding, for its other processes."""
        total: dict[int, OutstandingWork] = {}
        for facade in self._facades.values():
            for number, work in facade.outstanding(now_ns).items():
                total[number] = _sum_work(total.get(number, NO_WORK), work)
        return total


def _sum_work(first: OutstandingWork, second: OutstandingWork) -> OutstandingWork:
    return OutstandingWork(
        first.threads + second.threads,
        first.backlog_ns + second.backlog_ns,
        first.warmup_ns + second.warmup_ns,
    )
