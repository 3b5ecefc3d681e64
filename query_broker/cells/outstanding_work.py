"""Tracks work on a cell's endpoints that the cell itself did not dispatch.

An endpoint may have outstanding work of the broker's other processes and, after it has changed
cells, of its former cells. Both are reported to its current cell as the load of co-processes;
otherwise the endpoint would get work up to the limits of several cells. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..decisions.facade import OrderBatch, OutstandingWork, PeerProcessLoad
from .cell_facade import CellFacade, extend_orders

NO_WORK = OutstandingWork(0, 0, 0)


class CarriedWork(NamedTuple):
    """Work that former cells dispatched to an endpoint while the endpoint was warming up.

    Attributes:
        warmup_ns: The work in thread-nanoseconds.
        until_ns: When the work ceases to count.
    """

    warmup_ns: int
    until_ns: int


class OutstandingWorkTracker:
    """Reports to each cell the work that others have outstanding on its endpoints.

    Attributes:
        co_processes: The latest load report of the broker's other processes.
        endpoints_with_former_work: Endpoints on which a former cell has outstanding work.
        carried_work: Work that former cells dispatched to endpoints that were warming up.
    """

    def __init__(self, facades: Mapping[str, CellFacade]) -> None:
        """Start without work; ``facades`` holds the decisions of each cell by its name."""
        self._facades = facades
        self.co_processes = PeerProcessLoad({}, 1)
        self.endpoints_with_former_work: set[int] = set()
        self.carried_work: dict[int, CarriedWork] = {}

    def endpoint_left(self, number: int, outstanding: OutstandingWork, until_ns: int) -> None:
        """Record the work that a cell has outstanding on an endpoint that leaves the cell.

        Work that the cell dispatched during the warm-up counts in the next cell until ``until_ns``:
        a separate warm-up budget in each cell would overload the endpoint.
        """
        self.endpoints_with_former_work.add(number)
        if outstanding.warmup_ns:
            earlier = self.carried_work.get(number)
            warmup_ns = outstanding.warmup_ns + (earlier.warmup_ns if earlier else 0)
            self.carried_work[number] = CarriedWork(warmup_ns, until_ns)

    def publish(self, now_ns: int, orders: OrderBatch) -> None:
        """Report to each cell the work that others have outstanding on its endpoints."""
        former_work = self._work_of_former_cells(now_ns)
        processes = self.co_processes.accepting_processes
        for facade in self._facades.values():
            outstanding = {
                number: work
                for number, work in self.co_processes.outstanding.items()
                if number in facade.endpoints
            }
            for number in former_work.keys() & facade.endpoints:
                outstanding[number] = _sum_work(
                    outstanding.get(number, NO_WORK), former_work[number]
                )
            load = PeerProcessLoad(outstanding, processes)
            extend_orders(orders, facade.report(now_ns, load))

    def _work_of_former_cells(self, now_ns: int) -> dict[int, OutstandingWork]:
        former_work: dict[int, OutstandingWork] = {}
        for number in list(self.endpoints_with_former_work):
            work = self._include_carried_work(
                number, self._work_of_other_cells(number, now_ns), now_ns
            )
            if work == NO_WORK:
                self.endpoints_with_former_work.discard(number)
            else:
                former_work[number] = work
        return former_work

    def _work_of_other_cells(self, number: int, now_ns: int) -> OutstandingWork:
        """Return the outstanding work on the endpoint of all cells but its current one."""
        work = NO_WORK
        for facade in self._facades.values():
            if number in facade.controller.endpoints and number not in facade.endpoints:
                work = _sum_work(work, facade.outstanding(now_ns).get(number, NO_WORK))
        return work

    def _include_carried_work(
        self, number: int, work: OutstandingWork, now_ns: int
    ) -> OutstandingWork:
        carried = self.carried_work.get(number)
        if carried is None:
            return work
        if now_ns >= carried.until_ns:
            del self.carried_work[number]
            return work
        # Not added: the former cell may still count the same work as outstanding.
        warmup_ns = max(work.warmup_ns, carried.warmup_ns)
        return OutstandingWork(work.threads, work.backlog_ns, warmup_ns)

    def total(self, now_ns: int) -> dict[int, OutstandingWork]:
        """Return the outstanding work of all cells of this process, for its co-processes."""
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
