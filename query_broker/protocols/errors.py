"""The base class of errors about input that violates a protocol."""

from __future__ import annotations

from ..errors import QueryBrokerError


class ProtocolError(QueryBrokerError):
    """The peer has sent bytes that the protocol does not allow; the text says what is wrong."""
