"""The answers of the admin API, and their encoding in HTTP. Performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

from .errors import ProtocolError

# The content type of plain text.
TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
# The content type of the Prometheus text format.
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class HttpAnswer(NamedTuple):
    """The answer to one call of the admin API, from the broker or a subsystem.

    Attributes:
        status: The HTTP status, which must be a key of `REASON_PHRASES`.
        body: The complete body.
        content_type: Value of the Content-Type header.
        allow: Value of the Allow header: the method that the path allows; empty to omit the header.
    """

    status: int
    body: bytes
    content_type: str = TEXT_CONTENT_TYPE
    allow: str = ""


class OperatorCallError(ProtocolError):
    """A call that cannot be carried out.

    Attributes:
        status: The HTTP status of the answer.
        allow: Value of the Allow header: the method that the path allows; empty to omit the header.
    """

    def __init__(self, status: int, text: str, allow: str = "") -> None:
        """Create the error with the status, text and Allow header of its answer."""
        super().__init__(text)
        self.status = status
        self.allow = allow

    def answer(self) -> HttpAnswer:
        """Return the answer that reports the error."""
        return text_answer(self.status, str(self), self.allow)


def text_answer(status: int, text: str, allow: str = "") -> HttpAnswer:
    """Return an answer of one line of text."""
    return HttpAnswer(status=status, body=f"{text}\n".encode(), allow=allow)


def encode_answer(answer: HttpAnswer) -> bytes:
    """Encode one complete answer; the connection ends after it."""
    lines = [
        f"HTTP/1.1 {answer.status} {REASON_PHRASES[answer.status]}",
        f"Content-Type: {answer.content_type}",
        f"Content-Length: {len(answer.body)}",
        "Connection: close",
    ]
    if answer.allow:
        lines.append(f"Allow: {answer.allow}")
    head = "\r\n".join([*lines, "", ""])
    return head.encode() + answer.body
