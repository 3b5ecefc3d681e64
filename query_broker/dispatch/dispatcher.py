"""The dispatcher: from a client's request through the decisions to an endpoint, and back.

The dispatcher is independent of client protocols: a client connection parses a request into a
`ParsedRequest`, submits it and receives the final answer through the methods of `Client`. The
dispatcher makes no decisions: it reports events to the decisions, carries out their orders and
reports the outcomes.
"""

from __future__ import annotations

import itertools
import traceback
from dataclasses import replace

from ..config import Config
from ..decisions.facade import (
    AdministrativeChange,
    EndpointListUpdate,
    Event,
    Facade,
    ListUpdateKind,
    OrderBatch,
    RequestArrived,
    SettingsChanged,
)
from ..discovery.event_codec import EndpointListEvent
from ..endpoints.administrative_state import AdministrativeState, AdministrativeStates
from ..endpoints.connection_pools import ConnectionPools
from ..endpoints.endpoint_table import EndpointTable
from ..log import LogWriter
from ..metrics import ERROR, OVERLOAD, Metrics, ReplyStatus
from ..timer_wheel import Clock, TimerWheel
from .assembly import DispatchParts
from .capacity import divide_capacity
from .deadline_controls import NS_PER_MS, DeadlineControls
from .observers import DispatchExtensions, DispatchObserver, RequestEnding
from .request_table import RequestTable
from .requests import NO_RECEIVE_TIMES, ActiveRequest, Client, ReceiveTimes
from .validation import InvalidRequestError, ParsedRequest, RequestValidator

# The `retry_after` of a request rejected for lack of statement memory: gives open requests time to
# end.
NO_MEMORY_RETRY_AFTER_MS = 1_000
# Attempts get dedicated connections if a handshake costs at most this fraction of a request's
# priority weight. About one connection in a hundred is lost, with all attempts in flight on it.
MAX_HANDSHAKE_COST_FRACTION = 0.01
# How long the re-enabling of an endpoint is remembered: ten minutes.
REENABLED_RETENTION_NS = 600_000 * NS_PER_MS
# The ending for each reply status of `metrics`, which is its index: success, overload, error.
ENDING_BY_STATUS = (RequestEnding.SUCCESS, RequestEnding.OVERLOAD, RequestEnding.ERROR)


class Dispatcher:
    """Wires the parts that handle requests, and reports their events to the decisions.

    Extension points, which `query_broker.cells` overrides to divide the broker into cells:
    `make_facade` and `make_connection_pools` (called once, by the constructor),
    `apply_capacity_share`, and, in the order in which a request passes them, `admit`,
    `has_statement_capacity`, `begin_answer` and `release`. Overrides of `apply_capacity_share`,
    `admit`, `begin_answer` and `release` call the method of this class; an override of
    `has_statement_capacity` does not.

    Attributes:
        config: The configuration in force.
        timer_wheel: The timers; the tick stays the one configured at the start.
        facade: The decisions.
        request_table: The open requests.
        requests: The map of `request_table` by the broker's id.
        extensions: Observers and policies that other packages have registered.
        deadline_controls: The deadline settings of the operators.
        cancellations: Ends requests early; client connections call it when a client disconnects.
        health_checks: Starts health checks, including those that the decisions have not ordered.
        connection_events: The owner of the connections to endpoints.
        pools: The connections to endpoints.
        statement_capacity_bytes: Limit on the total size of the statements of open requests.
        max_clients: Limit on the number of client connections.
    """

    def __init__(self, config: Config, clock: Clock, log: LogWriter) -> None:
        """Wire the parts; ``log`` takes the kind of a line and its text."""
        self.config = config
        self.clock = clock
        self.log = log
        now_ns = clock.now()
        self.timer_wheel = TimerWheel(config.settings.tick_ns, now_ns)
        self.facade = self.make_facade(now_ns)
        self.endpoint_table = EndpointTable()
        self.administrative_states = AdministrativeStates()
        self.request_table = RequestTable()
        self.requests = self.request_table.by_id
        self.validator = RequestValidator(config.settings, self.request_table)
        self.metrics_counts = Metrics(self.validator.class_deadlines_ns)
        self.extensions = DispatchExtensions()
        self.deadline_controls = DeadlineControls()
        self._id_sequence = itertools.count(1)
        parts = DispatchParts(
            context=self,
            clock=clock,
            timer_wheel=self.timer_wheel,
            table=self.request_table,
            endpoints=self.endpoint_table,
            administrative_states=self.administrative_states,
            extensions=self.extensions,
            controls=self.deadline_controls,
            metrics=self.metrics_counts,
            id_sequence=self._id_sequence,
        )
        self.stage_timer = parts.stage_timer
        self.outcomes = parts.outcomes
        self.attempts = parts.attempts
        self.gate = parts.gate
        self.cancellations = parts.cancellations
        self.client_answers = parts.client_answers
        self.health_checks = parts.health_checks
        self.connection_events = parts.connection_events
        self.pools = self.make_connection_pools()
        self.pools.dedicated_connections = (
            config.settings.handshake_price <= MAX_HANDSHAKE_COST_FRACTION
        )
        self.apply_capacity_share(1, 0)

    def make_facade(self, now_ns: int) -> Facade:
        """Create the decisions; the constructor calls this before the other parts exist."""
        return Facade(self.config.settings, self.config.seed, now_ns, self.timer_wheel)

    def make_connection_pools(self) -> ConnectionPools:
        """Create the connection pools; the constructor calls this after the other parts exist."""
        return ConnectionPools(
            self.connection_events,
            self.log,
            max_streams=self.config.streams_per_connection,
            connect_timeout_ns=self.config.connect_timeout_ns,
            endpoint_idle_timeout_ns=self.config.connection_idle_ns,
            report_unsent=self.outcomes.end,
            may_hand_over=self.gate.may_proceed,
        )

    def apply_capacity_share(self, processes: int, other_process_clients: int) -> None:
        """Apply this process's share of the limits.

        Args:
            processes: Number of processes of this broker, including this one.
            other_process_clients: Number of clients connected to the other processes.
        """
        capacity = divide_capacity(self.config, processes, other_process_clients)
        self.max_clients = capacity.client_connections
        self.pools.set_max_connections(capacity.endpoint_connections)
        self.statement_capacity_bytes = capacity.statement_bytes

    def admit(
        self,
        client: Client,
        stream: int,
        parsed: ParsedRequest,
        times: ReceiveTimes = NO_RECEIVE_TIMES,
    ) -> ActiveRequest:
        """Add a valid request to the table and report it to the decisions; see `submit`."""
        now_ns = self.now()
        class_deadline_ns = self.validator.class_deadlines_ns[parsed.class_name]
        timeout_ns = self.deadline_controls.timeout_ns(
            parsed.timeout_ms, class_deadline_ns, times, now_ns
        )
        for observer in self.extensions.observers:
            observer.request_arrived(parsed, now_ns)
        request = ActiveRequest(
            id=str(next(self._id_sequence)),
            client_request_id=parsed.client_request_id.encode(),
            class_name=parsed.class_name.encode(),
            statement=parsed.statement,
            client=client,
            stream=stream,
            deadline_ns=now_ns + timeout_ns,
            tenant=parsed.tenant or "",
            received_ns=times.first_byte_ns or now_ns,
            accepted_ns=now_ns,
            idempotency_key=parsed.idempotency_key,
        )
        self.request_table.unanswered_count += 1
        if not self.has_statement_capacity(request):
            self.log("client", "no memory left for another statement: rejected")
            self.begin_answer(request, OVERLOAD).rejected(stream, NO_MEMORY_RETRY_AFTER_MS)
            return request
        self.request_table.add(request)
        try:
            orders = self.facade.pick(now_ns, _arrival_event(request.id, parsed, timeout_ns))
        except Exception:
            # An error in the decisions must affect this request alone, which still gets an answer.
            self.log("fault", traceback.format_exc())
            self.begin_answer(request, ERROR).failed(stream, "internal error")
            self.release(request)
        else:
            self.carry_out(now_ns, orders)
        return request

    def has_statement_capacity(self, request: ActiveRequest) -> bool:
        """Return whether there is memory for the statement of one more request.

        Without this bound a flood of large statements would make the process run out of memory, and
        all admitted requests would be lost.
        """
        return (
            self.request_table.statement_bytes + len(request.statement)
            <= self.statement_capacity_bytes
        )

    def begin_answer(self, request: ActiveRequest, status: ReplyStatus) -> Client:
        """Return the client, to which the caller must now give the final answer.

        Called for every final answer, so that each request is counted exactly once.

        Args:
            request: The request; its client is still waiting.
            status: The status of the final answer.
        """
        client = request.client
        request.client = None
        assert client is not None, "the request has already been answered or abandoned"
        self.request_table.unanswered_count -= 1
        self.metrics_counts.count_reply(request.class_name.decode(), status)
        for observer in self.extensions.observers:
            observer.request_ended(request, ENDING_BY_STATUS[status])
        return client

    def release(self, request: ActiveRequest) -> None:
        """Forget the request if no client waits for it and all its attempts are reported."""
        if request.client is not None or request.attempts:
            return
        if self.request_table.remove(request):
            self.facade.forget(request.id)

    def submit(
        self,
        client: Client,
        stream: int,
        parsed: ParsedRequest,
        times: ReceiveTimes = NO_RECEIVE_TIMES,
    ) -> ActiveRequest:
        """Validate and admit a request that a client protocol has parsed.

        Args:
            client: The client that gets the answer.
            stream: The client's number for the request on its connection.
            parsed: The request, not yet validated.
            times: When it was read.

        Raises:
            InvalidRequestError: The request is invalid; the caller answers that it failed.
        """
        try:
            self.validator.check(parsed)
        except InvalidRequestError:
            self.metrics_counts.count_reply(parsed.class_name, ERROR)
            raise
        return self.admit(client, stream, parsed, times)

    def apply_settings(self, config: Config) -> None:
        """Apply the settings of another configuration to all requests from now on."""
        now_ns = self.now()
        # The timer wheel keeps the tick configured at the start.
        settings = replace(config.settings, tick_ns=self.config.tick_ns)
        adjusted = self.extensions.adjust_settings(settings)
        self.carry_out(now_ns, self.facade.report(now_ns, SettingsChanged(adjusted)))
        self.config = replace(
            self.config,
            settings=settings,
            source=config.source,
            streams_per_connection=config.streams_per_connection,
            connect_timeout_ns=config.connect_timeout_ns,
            connection_idle_ns=config.connection_idle_ns,
        )
        self.validator.apply_settings(config.settings)
        self.metrics_counts.add_classes(self.validator.class_deadlines_ns)
        self.pools.apply_settings(
            config.streams_per_connection, config.connect_timeout_ns, config.connection_idle_ns
        )
        self.pools.dedicated_connections = settings.handshake_price <= MAX_HANDSHAKE_COST_FRACTION

    def refresh_settings(self) -> None:
        """Report the settings to the decisions again after a settings adjuster has changed."""
        self.report_event(SettingsChanged(self.extensions.adjust_settings(self.config.settings)))

    def add_observer(self, observer: DispatchObserver) -> None:
        """Register an observer of requests, attempts, health checks and administrative changes."""
        self.extensions.add_observer(observer)

    def endpoint_list_changed(self, event: EndpointListEvent) -> None:
        """Apply a watch event: changes to the endpoint list, or the complete list."""
        entries = self.endpoint_table.apply_event(event)
        for entry in entries:
            self.pools.update_target(
                entry.endpoint, self.endpoint_table.by_number[entry.endpoint].target
            )
        if event.full:
            for endpoint in self.endpoint_table.by_number.values():
                self.pools.update_target(endpoint.number, endpoint.target)
        kind = ListUpdateKind.FULL if event.full else ListUpdateKind.CHANGES
        self.report_event(EndpointListUpdate(kind, entries))
        self.endpoint_table.forget_removed()

    def set_endpoint_disabled(self, uid: str, disabled: bool) -> bool:
        """Disable or re-enable an endpoint for an operator; return False for an unknown uid.

        A disabled uid counts as known even if it is not listed: an endpoint that restarts while it
        is disabled may be missing from the list when it is re-enabled.
        """
        was_disabled = self.administrative_states.is_disabled(uid)
        if uid not in self.endpoint_table.by_uid and not was_disabled:
            return False
        if disabled != was_disabled:
            self.apply_administrative_state(uid, AdministrativeState(self.now(), disabled))
        for observer in self.extensions.observers:
            observer.endpoint_administered(uid, disabled)
        return True

    def apply_administrative_state(self, uid: str, state: AdministrativeState) -> None:
        """Apply an operator's call on an endpoint, made to this process or to another one."""
        if not self.administrative_states.record(uid, state):
            return
        self.administrative_states.forget(self.now() - REENABLED_RETENTION_NS)
        number = self.endpoint_table.number(uid)
        self.report_event(AdministrativeChange(number, state.disabled, state.given_ns))
        pool = self.pools.get(number)
        if pool is None:
            return
        if state.disabled:
            # Attempts that wait for a connection would be sent after the operator's call returns.
            pool.withdraw_waiting()
        else:
            pool.retire_connections()

    def now(self) -> int:
        """Return the time in Unix nanoseconds."""
        return self.clock.now()

    def report_event(self, event: Event) -> None:
        """Report an event to the decisions and carry out their orders.

        An error in the decisions is logged; it must affect nothing but this event.
        """
        now_ns = self.now()
        try:
            self.carry_out(now_ns, self.facade.report(now_ns, event))
        except Exception:
            self.log("fault", traceback.format_exc())

    def carry_out(self, now_ns: int, orders: OrderBatch) -> None:
        """Carry out orders; the options of a request are applied before its dispatch."""
        for options in orders.options:
            self.attempts.apply_options(options)
        for dispatch in orders.dispatches:
            self.attempts.dispatch(now_ns, dispatch)
        for answer in orders.answers:
            self.client_answers.deliver(answer)
        for cancellation in orders.cancellations:
            self.cancellations.cancel_attempt(cancellation)
        for check in orders.health_checks:
            self.health_checks.start(now_ns, check.endpoint)

    def tick(self) -> None:
        """Fire the timers that are due, then do the work that was deferred to this tick."""
        now_ns = self.now()
        self.timer_wheel.advance(now_ns)
        while self.facade.due:
            try:
                self.carry_out(now_ns, self.facade.tick(now_ns))
            except Exception:
                self.log("fault", traceback.format_exc())
        if self.stage_timer.unsent_answers:
            self.stage_timer.check_unsent_answers()
        if self.connection_events.blocked_connections:
            self.connection_events.flush_blocked()
        self.outcomes.report_deferred()
        if self.stage_timer.unsent_answers or self.connection_events.blocked_connections:
            self.timer_wheel.wake_next_tick()

    def metrics(self) -> bytes:
        """Return the metrics page, in the Prometheus text format."""
        dispatcher_metrics = self.metrics_counts.text(
            self.request_table.unanswered_count,
            len(self.endpoint_table.by_uid),
            self.facade.avoided_endpoints(),
        )
        return (
            dispatcher_metrics
            + self.extensions.metrics_text()
            + self.deadline_controls.metrics_text()
        )


def _arrival_event(request_id: str, parsed: ParsedRequest, timeout_ns: int) -> RequestArrived:
    """Return the event that reports the arrival of a request to the decisions."""
    return RequestArrived(
        request_id=request_id,
        class_name=parsed.class_name,
        timeout_ns=timeout_ns,
        tenant=parsed.tenant or None,
        estimate_ns=int(parsed.estimate_ms * NS_PER_MS),
        memory_mb=parsed.memory_mb,
        data_set=parsed.data_set,
        is_retry=parsed.is_retry,
    )
