"""Delivery of the rejections and failures that the decisions order."""

from __future__ import annotations

from ..decisions.facade import Fail, Reject
from ..metrics import ERROR, OVERLOAD
from .cancellation import RequestCancellation
from .context import DispatchContext
from .deadline_controls import NS_PER_MS
from .observers import DispatchExtensions
from .request_table import RequestTable


class ClientAnswers:
    """Carries out the orders to reject or fail a request."""

    def __init__(
        self,
        context: DispatchContext,
        table: RequestTable,
        extensions: DispatchExtensions,
        cancellations: RequestCancellation,
    ) -> None:
        """Store the other parts that answering uses."""
        self._context = context
        self._table = table
        self._extensions = extensions
        self._cancellations = cancellations

    def deliver(self, order: Reject | Fail) -> None:
        """Give a request its final answer, unless it has been answered or abandoned."""
        request = self._table.by_id.get(order.request_id)
        if request is None or request.client is None:
            return
        if isinstance(order, Reject):
            retry_after_ms = self._retry_after_ms(order.retry_after_ns)
            self._context.begin_answer(request, OVERLOAD).rejected(request.stream, retry_after_ms)
        else:
            self._context.begin_answer(request, ERROR).failed(request.stream, "")
        self._cancellations.end_scope(request)
        self._context.release(request)

    def _retry_after_ms(self, retry_after_ns: int) -> int:
        """Return how long the client is asked to wait before a retry, rounded up to ms."""
        policy = self._extensions.retry_after_policy
        if policy is not None:
            retry_after_ns = policy.retry_after_ns(retry_after_ns)
        return -(-retry_after_ns // NS_PER_MS)
