"""Dispatch of attempts to their endpoints, and their timeouts."""

from __future__ import annotations

import math
from functools import partial

from ..deadlines.handover_checks import HandOver, StopReason
from ..deadlines.retry_budget import RetryBudget, attempt_time_ns
from ..decisions.facade import AttemptResult, Dispatch, DispatchOptions, Effect
from ..timer_wheel import TimerWheel
from .attempt_outcomes import AttemptOutcomes
from .context import DispatchContext
from .deadline_controls import DeadlineControls
from .request_table import RequestTable
from .requests import Attempt
from .undelivered_attempts import UndeliveredAttempts

# An attempt of which no byte has been sent is withdrawn this many ticks before its deadline. The
# decisions give the final answer one tick before the deadline, and the report takes another tick.
WITHDRAWAL_LEAD_TICKS = 3


class AttemptDispatcher:
    """Carries out the orders to dispatch attempts, and ends attempts at their deadlines."""

    def __init__(
        self,
        context: DispatchContext,
        timer_wheel: TimerWheel,
        table: RequestTable,
        controls: DeadlineControls,
        outcomes: AttemptOutcomes,
        undelivered: UndeliveredAttempts,
    ) -> None:
        """Store the other parts that dispatching uses."""
        self._context = context
        self._timer_wheel = timer_wheel
        self._table = table
        self._controls = controls
        self._outcomes = outcomes
        self._undelivered = undelivered

    def apply_options(self, options: DispatchOptions) -> None:
        """Set the priority and memory of a request; attempts in flight get the new priority."""
        request = self._table.by_id.get(options.request_id)
        if request is None:
            return
        priority_changed = request.priority is not None and request.priority != options.priority
        request.priority = options.priority
        request.memory_mb = math.ceil(options.memory_mb)
        if not priority_changed:
            return
        for attempt in request.attempts.values():
            if attempt.connection is not None:
                attempt.connection.set_priority(attempt, options.priority)

    def dispatch(self, now_ns: int, order: Dispatch) -> None:
        """Hand a new attempt to the connection pool of its endpoint.

        If the attempt can't be handed over, its end is reported at the next tick: the decisions
        must not receive the outcome of an order that is still being carried out.
        """
        request = self._table.by_id.get(order.request_id)
        if request is None:
            return
        attempt = Attempt(
            request=request,
            number=order.attempt,
            endpoint=order.endpoint,
            dispatched_ns=now_ns,
            deadline_ns=now_ns + order.timeout_ns,
            latest_start_ns=order.latest_start_ns,
        )
        request.attempts[attempt.number] = attempt
        if self._table.closing or request.closing or request.cancellations_unread:
            self._outcomes.end_next_tick(attempt, AttemptResult.NOT_SENT)
            return
        budget = self._controls.retry_budget
        if budget is not None and not self._apply_retry_budget(budget, attempt):
            stop_counts = self._controls.statistics.stop_counts
            stop_counts[HandOver.POOL, StopReason.RETRY_BUDGET_EXHAUSTED] += 1
            self._outcomes.end_next_tick(attempt, AttemptResult.NOT_SENT)
            return
        attempt.timer = self._timer_wheel.set_timer(
            attempt.deadline_ns - WITHDRAWAL_LEAD_TICKS * self._timer_wheel.tick_ns,
            partial(self._withdraw_before_deadline, attempt),
        )
        if attempt.latest_start_ns < attempt.deadline_ns:
            attempt.start_timer = self._timer_wheel.set_timer(
                attempt.latest_start_ns, partial(self._withdraw_late_start, attempt)
            )
        pool = self._context.pools.get(order.endpoint)
        if pool is not None:
            pool.send(attempt, now_ns)
        else:
            self._outcomes.end_next_tick(attempt, AttemptResult.CONNECT_FAILED)

    def _apply_retry_budget(self, budget: RetryBudget, attempt: Attempt) -> bool:
        """Spend a token on a retry and limit the attempt's time; return False without a token.

        A first attempt spends no token; its time is limited if the request may be retried.
        """
        request = attempt.request
        class_name = request.class_name.decode()
        remaining_ns = attempt.deadline_ns - attempt.dispatched_ns
        idempotent = self._is_idempotent(class_name)
        allowed_ns = attempt_time_ns(remaining_ns, attempt.number, idempotent, budget.settings)
        attempt.deadline_ns = attempt.dispatched_ns + allowed_ns
        if attempt.number:
            attempt.holds_retry_token = budget.try_spend(class_name, request.tenant)
            return attempt.holds_retry_token
        budget.record_first_attempt(class_name, request.tenant)
        return True

    def _is_idempotent(self, class_name: str) -> bool:
        """Return whether requests of a class are idempotent; False for an unknown class."""
        for spec in self._context.config.settings.classes:
            if spec.name == class_name:
                return spec.effect is Effect.IDEMPOTENT
        return False

    def _withdraw_before_deadline(self, attempt: Attempt) -> None:
        """Withdraw an attempt of which no byte has been sent; else set a timer for its deadline.

        The decisions give the final answer a tick before the deadline. Without an earlier report
        they would assume that the attempt may have run, although it was never sent.
        """
        if attempt.write_started:
            attempt.timer = self._timer_wheel.set_timer(
                attempt.deadline_ns, partial(self._time_out, attempt)
            )
            return
        if attempt.connection is not None:
            attempt.connection.withdraw(attempt)
        self._outcomes.end(attempt, AttemptResult.CONNECT_FAILED)

    def _withdraw_late_start(self, attempt: Attempt) -> None:
        """Withdraw an attempt that has not arrived at its endpoint when it may no longer begin.

        For a retry with an idempotency key this is when endpoints forget the key. An attempt begins
        with its last byte, so one that is partly written must not become complete later, nor one
        whose last bytes the endpoint's system has not acknowledged.
        """
        if attempt.reported or attempt.stopped_by_broker:
            return
        connection = attempt.connection
        if connection is None or self._outcomes.withdraw(attempt, connection):
            self._outcomes.end(attempt, AttemptResult.NOT_SENT)
        else:
            connection.end_if_undelivered(attempt)

    def _time_out(self, attempt: Attempt) -> None:
        """End an attempt whose deadline has passed.

        It is withdrawn if it is only partly written, else cancelled if endpoints support
        cancellation. If it is still on its way, its connection ends.
        """
        if attempt.stopped_by_broker:
            return  # its report is already deferred
        connection = attempt.connection
        if connection is None or attempt.reported or self._outcomes.withdraw(attempt, connection):
            self._outcomes.end(attempt, AttemptResult.TIMEOUT)
            return
        self._undelivered.check_later(attempt, connection)
        if not self._context.config.settings.limits.cancellation:
            self._outcomes.end(attempt, AttemptResult.TIMEOUT)
            return
        self._outcomes.cancel_in_flight(attempt, connection)
        attempt.stopped_by_broker = True
        self._outcomes.end_next_tick(attempt, AttemptResult.TIMEOUT)
