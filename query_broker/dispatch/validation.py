"""Validation of parsed requests, before any part of them reaches the decisions or an engine.

The error texts are part of the client protocol and use its terms (``nonce``, ``trace``,
``customer``). Performs no I/O.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..decisions.facade import Effect, Settings
from ..errors import QueryBrokerError
from .request_table import RequestTable

# The longest timeout that a client may state: one hour. The deadline of the request class is an
# upper bound as well.
MAX_TIMEOUT_MS = 3_600_000.0
# The largest estimate of work (milliseconds, nearly three hours) or memory (megabytes, ten
# terabytes). Only rejects nonsensical values: one request never gets nearly as much.
MAX_ESTIMATE = 1e7
# The protocol's names for the two estimates, which share one upper bound.
ESTIMATE_FIELDS = "weight or ram"
# How much of a client's text an error quotes, so that log lines stay short.
MAX_QUOTED_CHARACTERS = 40
# A number in the notation of the protocol. Its length is limited, since clients are not trusted.
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?")


class DispatchError(QueryBrokerError):
    """Base class of the errors that the dispatcher raises."""


class InvalidRequestError(DispatchError):
    """A request whose frame is readable but whose content is invalid.

    The message names the field and the fault in one line. The client is told that the request has
    failed.
    """

    @classmethod
    def for_field(cls, field: str, fault: str) -> InvalidRequestError:
        """Return the error for one field, given by its name in the client protocol."""
        return cls(f"{field}: {fault}")


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A request that a client protocol has parsed and that has not been admitted yet.

    Attributes:
        class_name: Request class; determines deadline, priority weight and effect.
        client_request_id: The client's id for the request, which several requests may share.
        tenant: The paying tenant, None if the client names none.
        timeout_ms: How long the client waits for the answer.
        estimate_ms: The client's estimate of the work, in milliseconds of one thread.
        memory_mb: The client's estimate of the memory, in megabytes.
        is_retry: Whether the client has sent the same request before.
        data_set: Number of the data set that the statement reads.
        statement: The statement, passed on unread.
        idempotency_key: The client's idempotency key, None if it sent none.
    """

    class_name: str
    client_request_id: str
    tenant: str | None
    timeout_ms: float
    estimate_ms: float
    memory_mb: float
    is_retry: bool
    data_set: int
    statement: bytes
    idempotency_key: str | None = None


def read_number(text: str, name: str) -> float:
    """Parse a non-negative number that a client has sent.

    `float` alone would also accept signs, NaN, infinity, underscores and digits of other scripts.

    Args:
        text: The text that the client has sent.
        name: The name of the field, for the error.

    Raises:
        InvalidRequestError: The text is not a non-negative number.
    """
    if NUMBER_PATTERN.fullmatch(text) is None:
        fault = f"{text[:MAX_QUOTED_CHARACTERS]!r} is no number from 0 up"
        raise InvalidRequestError.for_field(name, fault)
    return float(text)


class RequestValidator:
    """Checks parsed requests against the settings in force and the open requests.

    Attributes:
        class_deadlines_ns: Deadline of each request class, in nanoseconds.
        tenants: Names of the configured tenants; empty if any name is accepted.
    """

    def __init__(self, settings: Settings, table: RequestTable) -> None:
        """Start with the settings in force and the table of open requests."""
        self._table = table
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply other settings."""
        self.class_deadlines_ns = {spec.name: spec.deadline_ns for spec in settings.classes}
        self.tenants = {tenant.name for tenant in settings.tenants}
        self._classes_with_key = frozenset(
            spec.name for spec in settings.classes if spec.effect is Effect.IDEMPOTENCY_KEY
        )

    def check(self, parsed: ParsedRequest) -> None:
        """Check a request; no invalid request may reach an endpoint or the decisions.

        Raises:
            InvalidRequestError: The request is invalid; names the first fault found.
        """
        if parsed.class_name not in self.class_deadlines_ns:
            quoted = parsed.class_name[:MAX_QUOTED_CHARACTERS]
            raise InvalidRequestError.for_field("route", f"{quoted!r} is no class of the settings")
        if not 1 <= parsed.timeout_ms <= MAX_TIMEOUT_MS:
            raise InvalidRequestError.for_field("patience", f"must be 1 to {MAX_TIMEOUT_MS:.0f} ms")
        if max(parsed.estimate_ms, parsed.memory_mb) > MAX_ESTIMATE:
            raise InvalidRequestError.for_field(ESTIMATE_FIELDS, "is out of range")
        if self.tenants and parsed.tenant not in self.tenants:
            quoted = (parsed.tenant or "")[:MAX_QUOTED_CHARACTERS]
            raise InvalidRequestError.for_field("customer", f"{quoted!r} is none of the settings")
        self._check_idempotency_key(parsed)
        self._check_open_requests(parsed)

    def _check_idempotency_key(self, parsed: ParsedRequest) -> None:
        key = parsed.idempotency_key
        if key is None:
            if parsed.class_name in self._classes_with_key:
                # Without the key an endpoint would not recognise a retry and would run it again.
                raise InvalidRequestError.for_field("nonce", "is missing")
        elif not key or "," in key:
            # An endpoint would parse the text after the comma as another field.
            raise InvalidRequestError.for_field(
                "nonce", "is empty or holds a comma: no engine can be told it"
            )

    def _check_open_requests(self, parsed: ParsedRequest) -> None:
        for other in self._table.by_client_id.get(parsed.client_request_id.encode(), ()):
            if (
                other.class_name != parsed.class_name.encode()
                or other.statement != parsed.statement
                or other.idempotency_key != parsed.idempotency_key
            ):
                # An endpoint identifies requests by this id, and would answer one of them with the
                # rows of the other.
                raise InvalidRequestError.for_field(
                    "trace", "is open with another statement or nonce"
                )
