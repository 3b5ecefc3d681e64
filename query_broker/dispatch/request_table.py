"""The table of open requests. Performs no I/O."""

from __future__ import annotations

from .requests import ActiveRequest


class RequestTable:
    """All requests that are open, by the broker's id and by the client's.

    A request is open from its admission until it has its final answer and its last attempt has been
    reported.

    Attributes:
        by_id: Open requests by the broker's id.
        by_client_id: The same requests by the client's id, which may come twice.
        unanswered_count: Requests that have neither been answered nor abandoned. One that is
            rejected for lack of memory counts until its answer without being open.
        statement_bytes: Size of the statements of all open requests.
        closing: The process is about to end: no attempt is dispatched any more.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self.by_id: dict[str, ActiveRequest] = {}
        self.by_client_id: dict[bytes, list[ActiveRequest]] = {}
        self.unanswered_count = 0
        self.statement_bytes = 0
        self.closing = False

    def add(self, request: ActiveRequest) -> None:
        """Add a request that has been admitted."""
        self.statement_bytes += len(request.statement)
        self.by_id[request.id] = request
        self.by_client_id.setdefault(request.client_request_id, []).append(request)

    def remove(self, request: ActiveRequest) -> bool:
        """Remove a request; False if it is not in the table."""
        if self.by_id.pop(request.id, None) is None:
            return False
        self.statement_bytes -= len(request.statement)
        same_id = self.by_client_id[request.client_request_id]
        same_id.remove(request)
        if not same_id:
            del self.by_client_id[request.client_request_id]
        return True
