"""One connection to the discovery service, which splits the received bytes into lines.

`WatchClient` owns the connection and decides when one is opened.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from ..overriding import override
from .event_codec import InvalidEventError, LineParser


class WatchConnectionOwner(Protocol):
    """The owner of a connection, which is notified of the connection's events.

    Attributes:
        last_offset: The offset of the latest known event.
    """

    last_offset: int

    def connection_up(self, connection: WatchConnection) -> None:
        """Use a connection that is established and has sent its request."""

    def bytes_received(self) -> None:
        """Record that bytes were received, not necessarily a complete line."""

    def line_received(self, connection: WatchConnection, line: bytes) -> None:
        """Handle one complete line of this connection, without its line end.

        Raises:
            InvalidEventError: The line is rejected; the connection is dropped.
        """

    def line_rejected(self, reason: str) -> None:
        """Log why a line was rejected; its connection is dropped."""

    def connection_lost(self, connection: WatchConnection) -> None:
        """Handle the end of a connection."""


class WatchConnection(asyncio.Protocol):
    """One connection, which requests the events after the latest known one.

    Attributes:
        address: Host and port to which the connection was opened.
        parser: Splits the received bytes into lines.
        transport: None before the connection is established and after its end.
    """

    def __init__(self, owner: WatchConnectionOwner, address: tuple[str, int]) -> None:
        """Create the protocol of a connection that is being opened."""
        self.owner = owner
        self.address = address
        self.parser = LineParser()
        self.transport: asyncio.Transport | None = None

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, with the offset of the latest known event."""
        # uvloop's transports are not subclasses of asyncio's, so isinstance can't narrow the type:
        # a check for asyncio.Transport would skip every write.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(b"from %d\n" % self.owner.last_offset)
        self.owner.connection_up(self)

    @override
    def data_received(self, data: bytes) -> None:
        """Pass on the complete lines; drop the connection if one is rejected."""
        self.owner.bytes_received()
        try:
            for line in self.parser.feed(data):
                self.owner.line_received(self, line)
        except InvalidEventError as error:
            self.owner.line_rejected(str(error))
            self.drop()
        except Exception as error:  # no input may make a callback raise
            self.owner.line_rejected(f"{type(error).__name__}: {error}")
            self.drop()

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection, whichever side closed it."""
        self.transport = None
        self.owner.connection_lost(self)

    def drop(self) -> None:
        """Abort the connection; its loss is reported later."""
        if self.transport is not None:
            self.transport.abort()
