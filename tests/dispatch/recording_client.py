"""A client without a connection, and requests as a client protocol would have parsed them."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Any, NamedTuple

from query_broker.dispatch.validation import ParsedRequest

from ..support.helpers import S
from ..support.sockets import STATEMENT, within


class Outcome(Enum):
    """Which of the three possible answers a request got."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


class Answer(NamedTuple):
    """An answer, with its `retry_after`."""

    outcome: Outcome
    retry_after_ms: int = 0


class RecordingClient:
    """Implements the dispatcher's `Client` without a socket and records the answers.

    Attributes:
        answers: All answers, in the order of their arrival.
    """

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self._answered = asyncio.Event()

    def served(self, stream: int, body: bytes) -> None:
        """Record that the request was served."""
        self._record(Answer(Outcome.SERVED))

    def rejected(self, stream: int, retry_after_ms: int) -> None:
        """Record that the request was rejected."""
        self._record(Answer(Outcome.REJECTED, retry_after_ms))

    def failed(self, stream: int, reason: str) -> None:
        """Record that the request failed."""
        self._record(Answer(Outcome.FAILED))

    def unread_bytes(self) -> int:
        """Return 0, as if all answers had been read."""
        return 0

    def _record(self, answer: Answer) -> None:
        self.answers.append(answer)
        self._answered.set()

    async def first_outcome(self) -> Outcome:
        """Wait for the first answer and return its outcome."""
        await within(self._answered.wait())
        return self.answers[0].outcome


def parsed_request(
    class_name: str = "stock-add",
    client_request_id: str = "a" * 16,
    idempotency_key: str | None = None,
) -> ParsedRequest:
    """Return a valid request with a timeout of 4 s."""
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
