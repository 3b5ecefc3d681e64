"""The base of all errors that are raised for bytes no protocol allows."""

from __future__ import annotations

from ..errors import QueryBrokerError


class ProtocolError(QueryBrokerError):
    """Bytes that a peer may not send; the text says what is wrong with them."""
