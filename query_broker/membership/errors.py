"""Errors of the membership, under one base."""

from __future__ import annotations

from enum import StrEnum

from ..errors import QueryBrokerError


class MembershipError(QueryBrokerError):
    """Base of the errors that the membership raises."""


class KeyFileError(MembershipError, ValueError):
    """A key file cannot be used; the text says what is wrong with it."""


class KeyLineError(KeyFileError):
    """A line of a key file is wrong."""

    def __init__(self, line: int, problem: str) -> None:
        """Name the line, counted from 1, and what is wrong with it."""
        super().__init__(f"line {line}: {problem}")
        self.line = line
        self.problem = problem


class EmptyKeyFileError(KeyFileError):
    """A key file has no key."""

    def __init__(self) -> None:
        """State that there is none."""
        super().__init__("holds no key")


class RejectReason(StrEnum):
    """Why a message was rejected; the value labels the drop counters."""

    OVERSIZED = "oversized"
    FOREIGN = "foreign"
    PROTOCOL = "protocol"
    KEY = "key"
    FORGED = "forged"
    UNKNOWN = "unknown"
    INSTALLATION = "installation"
    REPLAYED = "replayed"


class MessageRejectedError(MembershipError):
    """A datagram or frame is no new message of a member of this installation."""

    def __init__(self, reason: RejectReason) -> None:
        """Keep the reason, which is also the error's text."""
        super().__init__(reason.value)
        self.reason = reason
