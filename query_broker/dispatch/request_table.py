"""The table of open requests. Performs no I/O."""

from __future__ import annotations

from .requests import ActiveRequest


class RequestTable:
    """All open requests, by the broker's id and by the client's id.

    A request is open from its admission until it has its final answer and its last attempt has been
    reported.

    Attributes:
        by_id: Open requests by the broker's id.
        by_client_id: The same requests by the client's id, which several requests may share.
        unanswered_count: Requests that have neither been answered nor abandoned. A request that is
            rejected for lack of memory counts until its answer, although it is never open.
        statement_bytes: Total size of the statements of all open requests.
        closing: The process is about to end: no more attempts are dispatched.
    """

    def __init__(self) -> None:
        """Start with an empty table."""
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
        """Remove a request; return False if it is not in the table."""
        if self.by_id.pop(request.id, None) is None:
            return False
        self.statement_bytes -= len(request.statement)
        requests_with_same_id = self.by_client_id[request.client_request_id]
        requests_with_same_id.remove(request)
        if not requests_with_same_id:
            del self.by_client_id[request.client_request_id]
        return True
