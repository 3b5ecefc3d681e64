"""Errors as the interface gives them: a status, a code in a header, and a line of text. Pure."""

from __future__ import annotations

from dataclasses import dataclass

HEADER = "X-ClickHouse-Exception-Code"


@dataclass(frozen=True, slots=True)
class Kind:
    code: int
    name: str
    status: int


SYNTAX_ERROR = Kind(62, "SYNTAX_ERROR", 400)
BAD_ARGUMENTS = Kind(36, "BAD_ARGUMENTS", 400)
UNKNOWN_SETTING = Kind(115, "UNKNOWN_SETTING", 404)
TIMEOUT_EXCEEDED = Kind(159, "TIMEOUT_EXCEEDED", 408)
TOO_MANY_SIMULTANEOUS_QUERIES = Kind(202, "TOO_MANY_SIMULTANEOUS_QUERIES", 503)
NETWORK_ERROR = Kind(210, "NETWORK_ERROR", 502)
QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING = Kind(216, "QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING", 400)
MEMORY_LIMIT_EXCEEDED = Kind(241, "MEMORY_LIMIT_EXCEEDED", 503)
SESSION_NOT_FOUND = Kind(372, "SESSION_NOT_FOUND", 404)
SESSION_IS_LOCKED = Kind(373, "SESSION_IS_LOCKED", 423)
REQUIRED_PASSWORD = Kind(194, "REQUIRED_PASSWORD", 401)
AUTHENTICATION_FAILED = Kind(516, "AUTHENTICATION_FAILED", 403)
ALL_CONNECTION_TRIES_FAILED = Kind(279, "ALL_CONNECTION_TRIES_FAILED", 503)


class Fault(Exception):
    """A request that gets an error in place of a result. ``pause``: seconds to stay away, on a
    refusal.
    """

    def __init__(self, kind: Kind, text: str, pause: float = 0.0) -> None:
        super().__init__(text)
        self.kind, self.pause = kind, pause

    def body(self) -> bytes:
        """One line, as clients look for it. Danger: a line end in it would end it early."""
        text = " ".join(str(self).split()) or self.kind.name.lower()
        return f"Code: {self.kind.code}. DB::Exception: {text}. ({self.kind.name})\n".encode()

    def headers(self) -> list[tuple[str, str]]:
        made = [(HEADER, str(self.kind.code))]
        if self.pause > 0:
            made.append(("Retry-After", str(max(1, -(-int(self.pause * 1000) // 1000)))))
        return made
