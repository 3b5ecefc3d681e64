"""A client without a connection, and requests as its protocol would have parsed them."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Any, NamedTuple

from query_broker.dispatch.validation import ParsedRequest

from ..support.helpers import S
from ..support.sockets import STATEMENT, within


class Outcome(Enum):
    """Which of the three answers a request has got."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


class Answer(NamedTuple):
    """An answer, and the pause that it asks for."""

    outcome: Outcome
    pause_ms: int = 0


class RecordingClient:
    """Implements the dispatcher's `Client` without a socket, so that a test chooses the moment.

    Attributes:
        answers: All answers, in their order.
    """

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self._answered = asyncio.Event()

    def served(self, stream: int, body: bytes) -> None:
        """Record that the request was served."""
        self._record(Answer(Outcome.SERVED))

    def rejected(self, stream: int, pause_ms: int) -> None:
        """Record that the request was rejected."""
        self._record(Answer(Outcome.REJECTED, pause_ms))

    def failed(self, stream: int, reason: str) -> None:
        """Record that the request has failed."""
        self._record(Answer(Outcome.FAILED))

    def unread_bytes(self) -> int:
        """Return 0: nothing waits to be read."""
        return 0

    def _record(self, answer: Answer) -> None:
        self.answers.append(answer)
        self._answered.set()

    async def first_outcome(self) -> Outcome:
        """Wait for the first answer."""
        await within(self._answered.wait())
        return self.answers[0].outcome


def parsed_request(
    class_name: str = "stock-add",
    client_request_id: str = "a" * 16,
    idempotency_key: str | None = None,
) -> ParsedRequest:
    """Return a valid request with a deadline of 4 s."""
    return ParsedRequest(
        class_name,
        client_request_id,
        "acme",
        timeout_ms=4_000.0,
        estimate_ms=10.0,
        memory_mb=1.0,
        is_retry=False,
        data_set=3,
        statement=STATEMENT,
        idempotency_key=idempotency_key,
    )


def idempotent_class(deadline_ns: int, window_ns: int = S) -> dict[str, Any]:
    """Return the settings of a request class whose requests carry an idempotency key."""
    return {
        "name": "claim",
        "aim": S,
        "deadline": deadline_ns,
        "worth": 1.0,
        "effect": "idempotency_key",
        "window": window_ns,
    }
