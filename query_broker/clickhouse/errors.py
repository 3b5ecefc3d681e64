"""Errors in the form of the interface: an HTTP status, a code in a header, and a line of text.

Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import QueryBrokerError

MS_PER_S = 1_000
EXCEPTION_CODE_HEADER = "X-ClickHouse-Exception-Code"


@dataclass(frozen=True, slots=True)
class ErrorKind:
    """A kind of error: its code and name in the interface, and its HTTP status."""

    code: int
    name: str
    status: int


SYNTAX_ERROR = ErrorKind(62, "SYNTAX_ERROR", 400)
BAD_ARGUMENTS = ErrorKind(36, "BAD_ARGUMENTS", 400)
UNKNOWN_SETTING = ErrorKind(115, "UNKNOWN_SETTING", 404)
TIMEOUT_EXCEEDED = ErrorKind(159, "TIMEOUT_EXCEEDED", 408)
TOO_MANY_SIMULTANEOUS_QUERIES = ErrorKind(202, "TOO_MANY_SIMULTANEOUS_QUERIES", 503)
NETWORK_ERROR = ErrorKind(210, "NETWORK_ERROR", 502)
QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING = ErrorKind(216, "QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING", 400)
MEMORY_LIMIT_EXCEEDED = ErrorKind(241, "MEMORY_LIMIT_EXCEEDED", 503)
SESSION_NOT_FOUND = ErrorKind(372, "SESSION_NOT_FOUND", 404)
SESSION_IS_LOCKED = ErrorKind(373, "SESSION_IS_LOCKED", 423)
REQUIRED_PASSWORD = ErrorKind(194, "REQUIRED_PASSWORD", 401)
AUTHENTICATION_FAILED = ErrorKind(516, "AUTHENTICATION_FAILED", 403)
ALL_CONNECTION_TRIES_FAILED = ErrorKind(279, "ALL_CONNECTION_TRIES_FAILED", 503)


class QueryError(QueryBrokerError):
    """A request is answered with an error in place of a result.

    Attributes:
        kind: The kind of the error.
        retry_after_s: How long the client should wait before a retry; 0 sends no such header.
    """

    def __init__(self, kind: ErrorKind, text: str, retry_after_s: float = 0.0) -> None:
        """Create an error with this text for the client."""
        super().__init__(text)
        self.kind = kind
        self.retry_after_s = retry_after_s

    def body(self) -> bytes:
        """Return the line that clients parse; white space in the text becomes single spaces."""
        text = " ".join(str(self).split()) or self.kind.name.lower()
        return f"Code: {self.kind.code}. DB::Exception: {text}. ({self.kind.name})\n".encode()

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers of the response: the code and, if a delay is set, `Retry-After`."""
        headers = [(EXCEPTION_CODE_HEADER, str(self.kind.code))]
        if self.retry_after_s > 0:
            milliseconds = int(self.retry_after_s * MS_PER_S)
            seconds = max(1, -(-milliseconds // MS_PER_S))  # rounded up
            headers.append(("Retry-After", str(seconds)))
        return headers
