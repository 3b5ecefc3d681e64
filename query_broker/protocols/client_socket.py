"""The socket of one client connection: writing, ending, and what the system knows of its peer."""

from __future__ import annotations

import asyncio

from .socket_state import has_ended, has_input

# Bytes of answers that may wait for a slow reader; past this its requests are not read any more.
HIGH_WATER = 256 * 1024
# Bytes that are read on after the connection has ended for us: enough for what is on its way.
MOST_DISCARDED = 1 << 20
# In place of a descriptor: none, or one that must not be used any more.
NO_DESCRIPTOR = -1


class ClientSocket:
    """Wraps the transport, which may be absent (not connected yet, or lost) or closing.

    ``output_ended``: our side has ended, and nothing more is written.
    """

    def __init__(self) -> None:
        """Begin before the connection is made."""
        self.transport: asyncio.Transport | None = None
        self.fd = NO_DESCRIPTOR
        self.output_ended = False
        self.discarded_bytes = 0

    def attach(self, transport: asyncio.Transport) -> None:
        """Take the transport of a new connection."""
        self.transport = transport
        self.transport.set_write_buffer_limits(high=HIGH_WATER)
        self.fd = transport.get_extra_info("socket").fileno()

    def detach(self) -> None:
        """Give the transport up: the connection is lost."""
        self.transport = None
        self.fd = NO_DESCRIPTOR

    def is_open(self) -> bool:
        """Return whether there is a transport that is not closing."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write a complete frame; the transport keeps what the system does not take."""
        if self.transport is not None and not self.output_ended and not self.transport.is_closing():
            self.transport.write(data)

    def end_output(self) -> bool:
        """End our side, after what has been written; return whether that was done now."""
        if self.transport is None or self.output_ended or self.transport.is_closing():
            return False
        self.output_ended = True
        self.transport.write_eof()
        return True

    def unread(self) -> int:
        """Return how many bytes of answers wait for the client to read."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def set_reading(self, wanted: bool) -> None:
        """Read on, or stop reading for now."""
        if self.transport is None:
            return
        if wanted:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def discard(self, size: int) -> None:
        """Count bytes that came after the end.

        A body of 60 MB read to its end would take the processor from everybody else.
        """
        self.discarded_bytes += size
        if self.discarded_bytes > MOST_DISCARDED:
            self.set_reading(False)

    def close(self) -> None:
        """End the connection after what has been written."""
        self.fd = NO_DESCRIPTOR
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End the connection at once.

        The number of a descriptor that is closed is soon another connection's: it is given up
        first.
        """
        self.fd = NO_DESCRIPTOR
        if self.transport is not None:
            self.transport.abort()

    def has_ended(self) -> bool:
        """Return whether the client has ended the connection, perhaps unread as yet."""
        return self.fd >= 0 and has_ended(self.fd)

    def has_input(self) -> bool:
        """Return whether bytes of the client lie unread in the system's buffer."""
        return self.fd >= 0 and has_input(self.fd)
