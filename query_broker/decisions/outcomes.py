"""The handling of an attempt's outcome. Performs no I/O."""

from __future__ import annotations

from .accounting import Attempt
from .admission import Admission
from .delay_feedback import DelayFeedback
from .dispatching import AttemptDispatcher
from .endpoint_pool import EndpointPool
from .events import NEVER_EXECUTED, AttemptEnded, AttemptResult, EndpointState
from .key_ordering import KeyQueues
from .open_requests import Request
from .outlier_detection import OutlierDetector
from .retries import RetryPolicy
from .tracked_endpoint import TrackedEndpoint

# After these the endpoint may still run the attempt, so its ordering key needs a cool-down.
MAY_STILL_RUN_RESULTS = frozenset(
    {AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}
)


class AttemptOutcomes:
    """Handles outcomes: accounting, outlier detection, feedback, and the retry or final answer."""

    __slots__ = (
        "admission",
        "dispatcher",
        "feedback",
        "key_queues",
        "outliers",
        "pool",
        "retries",
    )

    def __init__(
        self,
        pool: EndpointPool,
        outliers: OutlierDetector,
        feedback: DelayFeedback,
        dispatcher: AttemptDispatcher,
        key_queues: KeyQueues,
        retries: RetryPolicy,
        admission: Admission,
    ) -> None:
        """Store the collaborators."""
        self.pool = pool
        self.outliers = outliers
        self.feedback = feedback
        self.dispatcher = dispatcher
        self.key_queues = key_queues
        self.retries = retries
        self.admission = admission

    def handle_attempt_ended(self, now_ns: int, event: AttemptEnded) -> None:
        """Handle the outcome of an attempt; ignore an attempt that is not in flight."""
        request = self.admission.requests.get(event.request_id)
        if request is None:
            return
        attempt = request.in_flight.pop(event.attempt, None)
        if attempt is None:
            return
        if event.result in NEVER_EXECUTED:
            request.maybe_executed.remove(attempt)
        endpoint = self.pool.endpoints.get(event.endpoint)
        if endpoint is not None:
            self._account(now_ns, endpoint, request, attempt, event)
        if request.key is not None and event.result in MAY_STILL_RUN_RESULTS:
            self.key_queues.start_cooldown(now_ns, request.key)
        if event.finished:
            self.admission.end_request(now_ns, request)
        if (
            not request.finished
            and not request.in_flight
            and not self.retries.start_retry(now_ns, request)
        ):
            self.admission.reject_or_fail(now_ns, request)
        self.admission.remove_if_settled(now_ns, request)

    def _account(
        self,
        now_ns: int,
        endpoint: TrackedEndpoint,
        request: Request,
        attempt: Attempt,
        event: AttemptEnded,
    ) -> None:
        """Remove the attempt's work from the accounting, and learn from its outcome."""
        self.dispatcher.release(now_ns, request, endpoint, attempt)
        # Attempts at an earlier process of the endpoint do not count.
        if attempt.dispatched_ns >= endpoint.process_started_ns:
            if event.load_report is not None:
                endpoint.update_load_report(event.load_report)
            self.outliers.handle_outcome(now_ns, endpoint, request, event)
            self.feedback.learn_from_outcome(now_ns, endpoint, request, attempt, event)
        if endpoint.entry.state is EndpointState.REMOVED:
            self.pool.remove(event.endpoint)
