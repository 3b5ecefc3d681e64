"""The dispatcher of a broker with cells, which assigns requests and limits to the cells."""

from __future__ import annotations

from typing import cast

from ..config import Config
from ..decisions.facade import CloseRequests, Facade
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.requests import NO_RECEIVE_TIMES, ActiveRequest, Client, ReceiveTimes
from ..dispatch.validation import ParsedRequest
from ..endpoints.connection_pools import ConnectionPools
from ..log import LogWriter
from ..metrics import ReplyStatus
from ..overriding import override
from ..timer_wheel import Clock
from .borrowing import Ledger
from .cell_metrics import ReplyKey, render_cell_metrics
from .cell_pools import CellConnectionPools
from .client_seat import UNASSIGNED, CellClient
from .migration_log import MigrationLog
from .model import CellMap
from .request_accounting import Charge, RequestAccounting
from .request_call_in import call_in_requests
from .router import Assignment, CellRouter
from .work_rates import WorkRates

NS_PER_MS = 1_000_000
#: The fraction of the limits on client connections that goes to connections without a cell: enough
#: for many new clients at once, while most of it stays with the cells.
UNASSIGNED_FRACTION = 0.2
#: The interval at which borrowed capacity is called in, a fraction of `CALL_IN_DELAY_NS`.
CALL_IN_PERIOD_NS = 100 * NS_PER_MS


class CellDispatcher(Dispatcher):
    """A dispatcher that assigns each request to a cell and accounts it there.

    Attributes:
        map: The cell map in force.
        migrations: The migrations of tenants.
        accounting: The accounting of open requests and their statements.
        request_ledger: The ledger of open requests.
        frames: The ledger of bytes of incomplete client frames.
        answers: The ledger of bytes of answers that clients have not read yet.
        connections: The ledger of client connections.
        cell_pools: The connections to endpoints.
        rates: The rate of work of each subject.
        replies: The number of answers by cell, class and status.
        called_in_count: How many requests on borrowed capacity were closed.
    """

    cell_pools: CellConnectionPools

    def __init__(
        self, config: Config, clock: Clock, log: LogWriter, map: CellMap, process_name: str
    ) -> None:
        """Create the parts; ``process_name`` is unique among the processes of the broker."""
        self.map = map
        self.migrations = MigrationLog(map, process_name)
        self.accounting = RequestAccounting()
        self.request_ledger = self.accounting.requests
        self.frames = Ledger()
        self.answers = Ledger()
        self.connections = Ledger()
        self.rates = WorkRates()
        self.replies: dict[ReplyKey, int] = {}
        self.called_in_count = 0
        self._last_call_in_ns = clock.now()
        super().__init__(config, clock, log)
        self.accounting.set_firm_classes(self.config.settings)

    @property
    def router(self) -> CellRouter:
        """The decisions of all cells."""
        return cast(CellRouter, self.facade)

    @override
    def make_facade(self, now_ns: int) -> Facade:
        """Create the router, which has all methods of a facade that a dispatcher calls."""
        router = CellRouter(
            self.config.settings,
            self.config.seed,
            now_ns,
            self.timer_wheel,
            self.map,
            lambda number: self.endpoint_table.by_number[number].target.uid,
        )
        return cast(Facade, router)

    @override
    def make_connection_pools(self) -> ConnectionPools:
        """Create the pools, which account each connection to a cell."""
        config = self.config
        self.cell_pools = CellConnectionPools(
            self,
            max_streams=config.streams_per_connection,
            connect_timeout_ns=config.connect_timeout_ns,
            endpoint_idle_timeout_ns=config.connection_idle_ns,
            report_unsent=self.outcomes.end,
            may_hand_over=self.gate.may_proceed,
        )
        return self.cell_pools

    @override
    def apply_capacity_share(self, processes: int, other_process_clients: int) -> None:
        """Set this process's quota of the limits and divide it among the cells."""
        super().apply_capacity_share(processes, other_process_clients)
        self._divide_among_cells()

    @override
    def apply_settings(self, config: Config) -> None:
        """Put another configuration in force."""
        super().apply_settings(config)
        self.accounting.set_firm_classes(self.config.settings)

    def cell_weights(self) -> dict[str, float]:
        """Return the weight by which each cell gets its quotas."""
        return {cell.name: cell.effective_capacity_weight() for cell in self.map.cells}

    def cell_weights_with_unassigned(self) -> dict[str, float]:
        """Return the weights of the cells, with one for connections without a cell."""
        weights = self.cell_weights()
        unassigned = sum(weights.values()) * UNASSIGNED_FRACTION / (1 - UNASSIGNED_FRACTION)
        return {**weights, UNASSIGNED: unassigned}

    def _divide_among_cells(self) -> None:
        weights = self.cell_weights()
        weights_with_unassigned = self.cell_weights_with_unassigned()
        self.accounting.divide(self.statement_capacity_bytes, weights)
        self.frames.divide(self.statement_capacity_bytes, weights_with_unassigned)
        self.answers.divide(self.statement_capacity_bytes, weights_with_unassigned)
        self.connections.divide(self.max_clients, weights_with_unassigned)
        self.cell_pools.ledger.divide(self.pools.max_connections, weights)

    def apply_map(self, map: CellMap) -> None:
        """Put another map in force; the caller has checked that it is not older."""
        now_ns = self.now()
        self.map = map
        self.migrations.apply_map(map, now_ns)
        self.carry_out(now_ns, self.router.apply_map(map, now_ns))
        self._divide_among_cells()

    def adopt_seats(self, seats: dict[str, str | None]) -> None:
        """Adopt the seats of endpoints from another process of this broker."""
        now_ns = self.now()
        self.carry_out(now_ns, self.router.adopt(seats, now_ns))

    def close_out(self, subject: str, cell: str) -> None:
        """Close the subject's open requests in the cell with a final answer."""
        self.report_event(CloseRequests(self.router.requests_of(subject, cell)))

    @override
    def admit(
        self,
        client: Client,
        stream: int,
        parsed: ParsedRequest,
        times: ReceiveTimes = NO_RECEIVE_TIMES,
    ) -> ActiveRequest:
        """Assign a valid request to its cell and open it."""
        assignment = self._assign(parsed)
        self.router.assignment = assignment
        self.rates.add(assignment.subject, int(parsed.estimate_ms * NS_PER_MS))
        return super().admit(client, stream, parsed, times)

    def _assign(self, parsed: ParsedRequest) -> Assignment:
        """Return the cell of a request: that of an open request with the same id, if any.

        Another cell would not know of the open request and could execute a request that is not
        idempotent a second time.
        """
        now_ns = self.now()
        subject = self.map.subject(parsed.tenant or "", parsed.class_name, parsed.data_set)
        assignment = Assignment(subject, self.migrations.cell(subject, now_ns))
        client_id = parsed.client_request_id.encode()
        for other in self.request_table.by_client_id.get(client_id, ()):
            routed = self.router.requests.get(other.id)
            if routed is not None:
                assignment = Assignment(routed.subject, routed.facade.cell)
        return assignment

    @override
    def has_statement_capacity(self, request: ActiveRequest) -> bool:
        """Account a request to its cell; return False if the cell has no capacity for it.

        Without these limits, one tenant's overload would use up the memory and descriptors of all.
        Work that may have been executed must not be cut short, so it is never admitted on borrowed
        capacity.
        """
        assert self.router.assignment is not None
        cell = self.router.assignment.cell
        client = request.client
        if isinstance(client, CellClient) and not client.assign_to_cell(cell):
            self.accounting.count_rejection(cell)
            return False
        firm = self.accounting.is_firm(request)
        charge = Charge(cell, len(request.statement), firm)
        if not self.accounting.charge_request(request.id, charge, self.now()):
            self.accounting.count_rejection(cell)
            return False
        return True

    @override
    def begin_answer(self, request: ActiveRequest, status: ReplyStatus) -> Client:
        """Return the client that gets the final answer, and count the answer for the cell."""
        routed = self.router.requests.get(request.id)
        cell = ""
        if routed is not None:
            cell = routed.facade.cell
        elif self.router.assignment is not None:
            cell = self.router.assignment.cell
        key = ReplyKey(cell, request.class_name.decode(), status)
        self.replies[key] = self.replies.get(key, 0) + 1
        return super().begin_answer(request, status)

    @override
    def release(self, request: ActiveRequest) -> None:
        """Remove a request that has ended and release its charge."""
        super().release(request)
        if request.id not in self.requests:
            self.accounting.release(request.id)

    @override
    def tick(self) -> None:
        """Do the periodic work, and every `CALL_IN_PERIOD_NS` call in borrowed capacity."""
        super().tick()
        now_ns = self.now()
        if now_ns - self._last_call_in_ns >= CALL_IN_PERIOD_NS:
            self._last_call_in_ns = now_ns
            self.rates.update_means(now_ns)
            self.called_in_count += call_in_requests(self, now_ns)
            self.cell_pools.call_in(now_ns)
            self.carry_out(now_ns, self.router.report_former_cells(now_ns))

    @override
    def metrics(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return super().metrics() + render_cell_metrics(self, self.now())
