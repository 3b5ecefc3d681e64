"""Exceptions of the membership."""

from __future__ import annotations

from enum import StrEnum

from ..errors import QueryBrokerError


class MembershipError(QueryBrokerError):
    """Base class of the exceptions that the membership raises."""


class KeyFileError(MembershipError, ValueError):
    """A key file cannot be used; the message describes the problem."""


class KeyLineError(KeyFileError):
    """A line of a key file is invalid."""

    def __init__(self, line: int, problem: str) -> None:
        """Store the line number, counted from 1, and the problem."""
        super().__init__(f"line {line}: {problem}")
        self.line = line
        self.problem = problem


class EmptyKeyFileError(KeyFileError):
    """A key file contains no key."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("holds no key")


class RejectReason(StrEnum):
    """Why a message was rejected; the value is a label of the drop counters."""

    OVERSIZED = "oversized"
    FOREIGN = "foreign"
    PROTOCOL = "protocol"
    KEY = "key"
    FORGED = "forged"
    UNKNOWN = "unknown"
    INSTALLATION = "installation"
    REPLAYED = "replayed"


class MessageRejectedError(MembershipError):
    """A datagram or frame is not a new message of a member of this installation."""

    def __init__(self, reason: RejectReason) -> None:
        """Store the reason, whose value is also the message."""
        super().__init__(reason.value)
        self.reason = reason
