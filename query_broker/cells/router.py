"""The router: the decisions of all cells behind the methods of `query_broker.decisions.facade`.

A request belongs to one cell from its arrival to its end. An endpoint belongs to one cell at a
time: if it changes cells with attempts in flight, the former cell gets their outcomes, and the new
cell counts their outstanding work like that of another process. Performs no I/O.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from typing import NamedTuple

from ..decisions.facade import (
    AdministrativeChange,
    AttemptEnded,
    CloseRequests,
    EndpointListUpdate,
    HealthCheckResult,
    OrderBatch,
    OutstandingWork,
    PeerProcessLoad,
    RequestAbandoned,
    RequestArrived,
    Settings,
    SettingsChanged,
)
from ..timer_wheel import TimerWheel
from .cell_facade import CellFacade, extend_orders
from .endpoint_seats import EndpointSeats, UidLookup
from .model import CellMap
from .outstanding_work import OutstandingWorkTracker

RoutedEvent = (
    AttemptEnded
    | HealthCheckResult
    | RequestAbandoned
    | EndpointListUpdate
    | AdministrativeChange
    | PeerProcessLoad
    | SettingsChanged
    | CloseRequests
)


class Assignment(NamedTuple):
    """The cell of a request that is being admitted.

    Attributes:
        subject: The tenant, or the part of a spread tenant.
        cell: The cell that the request is assigned to.
    """

    subject: str
    cell: str


class RoutedRequest(NamedTuple):
    """An open request.

    Attributes:
        facade: The decisions of the cell of the request.
        subject: The tenant, or the part of a spread tenant.
    """

    facade: CellFacade
    subject: str


class CellRouter:
    """The decisions of all cells.

    Attributes:
        map: The cell map in force.
        settings: The platform settings in force.
        due: The decisions for which a timer is due, in the order of the wheel.
        facades: The decisions of each cell; a cell that the map has dropped stays until its last
            request ends.
        requests: The open requests, by the broker's id.
        open_counts: The number of open requests by subject and cell.
        assignment: The cell of the request that is being admitted; set before `pick`.
        outstanding_work: Work on the cells' endpoints that other cells or processes dispatched.
        seats: The cell of each endpoint.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        now_ns: int,
        timer_wheel: TimerWheel,
        map: CellMap,
        uid_of: UidLookup,
    ) -> None:
        """Start with the cells of the map and no endpoints.

        Args:
            settings: The platform settings in force.
            seed: The seed of the random draws, from which the seed of each cell is derived.
            now_ns: The time.
            timer_wheel: The timer wheel of all cells.
            map: The cell map in force.
            uid_of: Returns the uid of an endpoint's number.
        """
        self.map = map
        self.settings = settings
        self.due: deque[CellFacade] = deque()
        self.facades: dict[str, CellFacade] = {}
        self.requests: dict[str, RoutedRequest] = {}
        self.open_counts: Counter[tuple[str, str]] = Counter()
        self.assignment: Assignment | None = None
        self.outstanding_work = OutstandingWorkTracker(self.facades)
        self.seats = EndpointSeats(map, settings, self.facades, self.outstanding_work, uid_of)
        self._seed = seed
        self._timer_wheel = timer_wheel
        self._add_missing_cells(now_ns)

    def _add_missing_cells(self, now_ns: int) -> None:
        for cell in self.map.cells:
            if cell.name not in self.facades:
                self._add_cell(cell.name, now_ns)

    def _add_cell(self, cell: str, now_ns: int) -> None:
        seed = int.from_bytes(f"{self._seed:x}/{cell}".encode(), "big")
        facade = CellFacade(cell, seed, now_ns, self.settings, self._timer_wheel, self.due)
        self.facades[cell] = facade
        for change in self.seats.disabled.values():
            facade.report(now_ns, change)
        processes = self.outstanding_work.co_processes.accepting_processes
        facade.report(now_ns, PeerProcessLoad({}, processes))

    def _dissolve_if_ended(self, facade: CellFacade) -> None:
        """Remove a cell that the map has dropped and that has no open requests."""
        if facade.open_count or self.map.cell(facade.cell) is not None:
            return
        if self.facades.get(facade.cell) is facade:
            facade.dissolved = True
            del self.facades[facade.cell]

    def apply_map(self, map: CellMap, now_ns: int) -> OrderBatch:
        """Put another map in force.

        This adds new cells and moves endpoints to their new cells; a dropped cell stays until its
        requests have ended.
        """
        self.map = map
        self._add_missing_cells(now_ns)
        orders = OrderBatch()
        self.seats.apply_seat_changes(now_ns, self.seats.placement.apply_map(map), orders)
        self.outstanding_work.publish(now_ns, orders)
        for facade in list(self.facades.values()):
            self._dissolve_if_ended(facade)
        return orders

    def adopt(self, seats: dict[str, str | None], now_ns: int) -> OrderBatch:
        """Adopt the seats of endpoints from another process of this broker."""
        orders = OrderBatch()
        changes = self.seats.placement.adopt(seats)
        if changes:
            self.seats.apply_seat_changes(now_ns, changes, orders)
            self.outstanding_work.publish(now_ns, orders)
        return orders

    def pick(self, now_ns: int, arrival: RequestArrived) -> OrderBatch:
        """Decide on a request that has arrived, in the cell that `assignment` names.

        The request was accounted to this cell already; a second choice here might differ.
        """
        assert self.assignment is not None, "no cell is assigned to the request"
        subject, cell = self.assignment
        self.assignment = None
        facade = self.facades[cell]
        self.requests[arrival.request_id] = RoutedRequest(facade, subject)
        facade.open_count += 1
        self.open_counts[subject, cell] += 1
        return facade.pick(now_ns, arrival)

    def forget(self, request_id: str) -> None:
        """Remove a request of which no attempt is left on the network."""
        routed = self.requests.pop(request_id, None)
        if routed is None:
            return
        facade = routed.facade
        facade.forget(request_id)
        facade.open_count -= 1
        key = (routed.subject, facade.cell)
        self.open_counts[key] -= 1
        if not self.open_counts[key]:
            del self.open_counts[key]
        self._dissolve_if_ended(facade)

    def requests_of(self, subject: str, cell: str) -> frozenset[str]:
        """Return the open requests of the subject in the cell."""
        return frozenset(
            request_id
            for request_id, routed in self.requests.items()
            if routed.facade.cell == cell and routed.subject == subject
        )

    def tick(self, now_ns: int) -> OrderBatch:
        """Handle the first due timer."""
        return self.due.popleft().tick(now_ns)

    def report(self, now_ns: int, event: RoutedEvent) -> OrderBatch:
        """Report any other event to the cells that the event concerns."""
        orders = OrderBatch()
        match event:
            case AttemptEnded() | RequestAbandoned():
                return self._report_request_event(now_ns, event)
            case HealthCheckResult(endpoint):
                facade = self.seats.facade_of(endpoint)
                if facade is not None:
                    extend_orders(orders, facade.report(now_ns, event))
            case EndpointListUpdate():
                self.seats.apply_update(now_ns, event, orders)
                self.outstanding_work.publish(now_ns, orders)
            case AdministrativeChange():
                self.seats.apply_administrative_change(event)
                self._report_to(self.facades, now_ns, event, orders)
            case PeerProcessLoad():
                self.outstanding_work.co_processes = event
                self.outstanding_work.publish(now_ns, orders)
            case SettingsChanged(settings):
                self.settings = settings
                self.seats.settings = settings
                self._report_to(self.facades, now_ns, event, orders)
            case CloseRequests(request_ids):
                self._report_to(self._cells_with(request_ids), now_ns, event, orders)
        return orders

    def _report_request_event(
        self, now_ns: int, event: AttemptEnded | RequestAbandoned
    ) -> OrderBatch:
        routed = self.requests.get(event.request_id)
        if routed is None:
            return OrderBatch()
        orders = routed.facade.report(now_ns, event)
        endpoints_with_former_work = self.outstanding_work.endpoints_with_former_work
        if isinstance(event, AttemptEnded) and event.endpoint in endpoints_with_former_work:
            self.outstanding_work.publish(now_ns, orders)
        return orders

    def _report_to(
        self, cells: Iterable[str], now_ns: int, event: RoutedEvent, orders: OrderBatch
    ) -> None:
        for cell in list(cells):
            extend_orders(orders, self.facades[cell].report(now_ns, event))

    def _cells_with(self, request_ids: Iterable[str] | None) -> Iterable[str]:
        """Return the cells of these requests; all cells for None."""
        if request_ids is None:
            return self.facades
        open_ids = [request_id for request_id in request_ids if request_id in self.requests]
        return sorted({self.requests[request_id].facade.cell for request_id in open_ids})

    def report_former_cells(self, now_ns: int) -> OrderBatch:
        """Publish the decaying work of former cells again; must be called regularly."""
        orders = OrderBatch()
        if self.outstanding_work.endpoints_with_former_work:
            self.outstanding_work.publish(now_ns, orders)
        return orders

    def avoided_endpoints(self) -> int:
        """Return how many listed endpoints operators have disabled or the decisions avoid."""
        return sum(facade.avoided_endpoints() for facade in self.facades.values())

    def quotas_and_bounds(self) -> dict[int, tuple[float, float]]:
        """Return the thread quota and the limit of each endpoint, by its cell."""
        quotas: dict[int, tuple[float, float]] = {}
        for facade in self.facades.values():
            for number, quota in facade.quotas_and_bounds().items():
                if number in facade.endpoints:
                    quotas[number] = quota
        return quotas

    def max_request_threads(self) -> int:
        """Return the threads of the widest query."""
        return max((facade.max_request_threads() for facade in self.facades.values()), default=1)

    def outstanding(self, now_ns: int) -> dict[int, OutstandingWork]:
        """Return the outstanding work of this process, for the broker's other processes."""
        return self.outstanding_work.total(now_ns)
