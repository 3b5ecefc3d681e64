"""The socket of one client connection: writing, ending, and what the system knows of its peer."""

from __future__ import annotations

import asyncio

from .socket_state import NO_DESCRIPTOR, has_ended, has_input

# Answers that may wait for a slow reader; past this its requests are not read any more.
WRITE_HIGH_WATER_BYTES = 256 * 1024
# What is still read after the connection has ended for us: enough for what is in transit.
MAX_DISCARDED_BYTES = 1 << 20


class ClientSocket:
    """Wraps the transport, which may be absent (not connected yet, or lost) or closing.

    Attributes:
        transport: None before the connection is made and after it is lost.
        fd: Descriptor of the socket, or `NO_DESCRIPTOR`.
        output_ended: Our side has ended, and nothing more is written.
        discarded_bytes: What came after the connection had ended for us.
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
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
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

    def unread_bytes(self) -> int:
        """Return how many bytes of answers wait for the client to read."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def set_reading(self, enabled: bool) -> None:
        """Resume reading, or pause it."""
        if self.transport is None:
            return
        if enabled:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def discard(self, size_bytes: int) -> None:
        """Count bytes that came after the end, and stop reading once they are too many.

        To read a body of 60 MB to its end would keep the processor from all other connections.
        """
        self.discarded_bytes += size_bytes
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
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
