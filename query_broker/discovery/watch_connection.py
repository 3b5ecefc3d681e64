"""One connection to the discovery service: bytes in, lines out.

`WatchClient` owns it and decides when there is one.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from .event_codec import InvalidEventError, LineParser


class WatchConnectionOwner(Protocol):
    """The owner of a connection, which the connection reports to.

    Attributes:
        last_offset: The offset of the latest event that is known.
    """

    last_offset: int

    def connection_up(self, connection: WatchConnection) -> None:
        """Use a connection that has come up and has sent its request."""

    def bytes_received(self) -> None:
        """Record that some bytes have come, perhaps no complete line yet."""

    def line_received(self, line: bytes) -> None:
        """Handle one complete line without its end.

        Raises:
            InvalidEventError: The line can't be used; the connection is dropped.
        """

    def line_rejected(self, reason: str) -> None:
        """Log why a connection is dropped."""

    def connection_lost(self, connection: WatchConnection) -> None:
        """Handle the end of a connection."""


class WatchConnection(asyncio.Protocol):
    """One connection; it requests the events after the latest one that is known.

    Attributes:
        address: Host and port that it was opened to.
        parser: Holds the beginning of a line whose end hasn't come yet.
        transport: None before the connection is up and after it has ended.
    """

    def __init__(self, owner: WatchConnectionOwner, address: tuple[str, int]) -> None:
        """Make the protocol of a connection that is being opened."""
        self.owner = owner
        self.address = address
        self.parser = LineParser()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, with the offset of the latest known event."""
        # uvloop's transports are no subclass of asyncio's: a check by isinstance would drop every
        # write.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(b"from %d\n" % self.owner.last_offset)
        self.owner.connection_up(self)

    def data_received(self, data: bytes) -> None:
        """Report the complete lines; drop the connection where one can't be used."""
        self.owner.bytes_received()
        try:
            for line in self.parser.feed(data):
                self.owner.line_received(line)
        except InvalidEventError as error:
            self.owner.line_rejected(str(error))
            self.drop()
        except Exception as error:  # no input may raise out of a callback
            self.owner.line_rejected(f"{type(error).__name__}: {error}")
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end, whichever side ended it."""
        self.transport = None
        self.owner.connection_lost(self)

    def drop(self) -> None:
        """End the connection at once; its loss is reported later."""
        if self.transport is not None:
            self.transport.abort()
