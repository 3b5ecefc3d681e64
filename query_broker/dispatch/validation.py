"""Validation of parsed requests, before anything of them reaches the decisions or an engine.

The texts of the errors are part of the client protocol and keep its words (``nonce``, ``trace``,
``customer``). Performs no I/O.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..decisions.facade import Effect, Settings
from ..errors import QueryBrokerError
from .request_table import RequestTable

# The longest timeout that a client may state, one hour; the deadline of its class is a bound too.
MAX_TIMEOUT_MS = 3_600_000.0
# The largest estimate of work (milliseconds, nearly three hours) or memory (megabytes, ten
# terabytes): a bound against nonsense, far above what one request may be given.
MAX_ESTIMATE = 1e7
# The protocol's names of the two estimates, which share one bound.
ESTIMATE_FIELDS = "weight or ram"
# How much of a client's text an error quotes, so that a log line stays short.
QUOTED_CHARACTERS = 40
# A number as the protocol writes it: bounded in length, since the digits come from outside.
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?")


class DispatchError(QueryBrokerError):
    """Base of the errors that the dispatcher raises."""


class InvalidRequestError(DispatchError):
    """A request whose frame can be read but whose content cannot be used.

    Its text names the field and the fault in one line. The client gets one failed answer.
    """

    @classmethod
    def of_field(cls, field: str, fault: str) -> InvalidRequestError:
        """The error of one field, named as the client protocol names it."""
        return cls(f"{field}: {fault}")


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A request as a client protocol has read it, not yet admitted.

    Attributes:
        class_name: Request class; decides deadline, priority weight and effect.
        client_request_id: The client's id of the request; may come again.
        tenant: The paying tenant, None where the client names none.
        timeout_ms: How long the client waits for the answer.
        estimate_ms: The client's estimate of the work, in milliseconds of one thread.
        memory_mb: The client's estimate of the memory, in megabytes.
        is_retry: The client has sent the same request before.
        data_set: Number of the data set that the statement reads.
        statement: The statement, passed on unread.
        idempotency_key: The client's idempotency key, None where it gave none.
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
    """Read a number of a client's text.

    `float` alone also takes signs, NaN, infinity, underscores and the digits of other scripts.

    Args:
        text: What the client wrote.
        name: The field, for the error.

    Raises:
        InvalidRequestError: The text is no number from 0 up.
    """
    if NUMBER_PATTERN.fullmatch(text) is None:
        fault = f"{text[:QUOTED_CHARACTERS]!r} is no number from 0 up"
        raise InvalidRequestError.of_field(name, fault)
    return float(text)


class RequestValidator:
    """Checks parsed requests against the settings in force and the open requests.

    Attributes:
        class_deadlines_ns: Deadline of each request class, in nanoseconds.
        tenants: Names of the configured tenants; empty where any name is accepted.
    """

    def __init__(self, settings: Settings, table: RequestTable) -> None:
        """Take the settings in force and the table of open requests."""
        self._table = table
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Put other settings in force."""
        self.class_deadlines_ns = {spec.name: spec.deadline_ns for spec in settings.classes}
        self.tenants = {tenant.name for tenant in settings.tenants}
        self._classes_with_key = frozenset(
            spec.name for spec in settings.classes if spec.effect is Effect.IDEMPOTENCY_KEY
        )

    def check(self, parsed: ParsedRequest) -> None:
        """Check a request; nothing malformed may reach an endpoint or the decisions.

        Raises:
            InvalidRequestError: The first fault found.
        """
        if parsed.class_name not in self.class_deadlines_ns:
            quoted = parsed.class_name[:QUOTED_CHARACTERS]
            raise InvalidRequestError.of_field("route", f"{quoted!r} is no class of the settings")
        if not 1 <= parsed.timeout_ms <= MAX_TIMEOUT_MS:
            raise InvalidRequestError.of_field("patience", f"must be 1 to {MAX_TIMEOUT_MS:.0f} ms")
        if max(parsed.estimate_ms, parsed.memory_mb) > MAX_ESTIMATE:
            raise InvalidRequestError.of_field(ESTIMATE_FIELDS, "is out of range")
        if self.tenants and parsed.tenant not in self.tenants:
            quoted = (parsed.tenant or "")[:QUOTED_CHARACTERS]
            raise InvalidRequestError.of_field("customer", f"{quoted!r} is none of the settings")
        self._check_idempotency_key(parsed)
        self._check_open_requests(parsed)

    def _check_idempotency_key(self, parsed: ParsedRequest) -> None:
        key = parsed.idempotency_key
        if key is None:
            if parsed.class_name in self._classes_with_key:
                # Without its key an endpoint would not recognise a retry and would run it twice.
                raise InvalidRequestError.of_field("nonce", "is missing")
        elif not key or "," in key:
            # An endpoint would read what follows the comma as another field.
            raise InvalidRequestError.of_field(
                "nonce", "is empty or holds a comma: no engine can be told it"
            )

    def _check_open_requests(self, parsed: ParsedRequest) -> None:
        for other in self._table.by_client_id.get(parsed.client_request_id.encode(), ()):
            if (
                other.class_name != parsed.class_name.encode()
                or other.statement != parsed.statement
                or other.idempotency_key != parsed.idempotency_key
            ):
                # An endpoint identifies requests by this id, and would answer one with the other's
                # rows.
                raise InvalidRequestError.of_field(
                    "trace", "is open with another statement or nonce"
                )
