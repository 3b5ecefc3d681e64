"""The socket of one client connection: writing, closing, and the state of the client's end."""

from __future__ import annotations

import asyncio

from .socket_state import NO_DESCRIPTOR, has_ended, has_input

# Unread answers beyond which no further requests of the client are taken.
WRITE_HIGH_WATER_BYTES = 256 * 1024
# Bytes that are still read from a broken connection: enough for the data in transit.
MAX_DISCARDED_BYTES = 1 << 20


class ClientSocket:
    """Wraps the transport, which may be absent (not connected yet, or lost) or closing.

    Attributes:
        transport: None before the connection is established and after it is lost.
        fd: Descriptor of the socket, or `NO_DESCRIPTOR`.
        output_ended: Whether this side has ended, so that nothing more is written.
        discarded_bytes: Bytes received since the connection is broken.
        written_bytes: Bytes written since the connection was accepted.
        backlog_periods: In how many sweeps the client would have read its answers, at the speed of
            the time between the last two.
    """

    def __init__(self) -> None:
        """Start without a transport; `attach` provides it."""
        self.transport: asyncio.Transport | None = None
        self.fd = NO_DESCRIPTOR
        self.output_ended = False
        self.discarded_bytes = 0
        self.written_bytes = 0
        self.backlog_periods = 0.0
        self._read_bytes_at_sweep = 0

    def attach(self, transport: asyncio.Transport) -> None:
        """Use the transport of a new connection."""
        self.transport = transport
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.fd = transport.get_extra_info("socket").fileno()

    def detach(self) -> None:
        """Release the transport, since the connection is lost."""
        self.transport = None
        self.fd = NO_DESCRIPTOR

    def is_open(self) -> bool:
        """Return whether there is a transport that is not closing."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write a complete frame; the transport buffers what the system does not accept."""
        if self.transport is not None and not self.output_ended and not self.transport.is_closing():
            self.written_bytes += len(data)
            self.transport.write(data)

    def end_output(self) -> bool:
        """Half-close the connection after the data written so far; return whether it was open."""
        if self.transport is None or self.output_ended or self.transport.is_closing():
            return False
        self.output_ended = True
        self.transport.write_eof()
        return True

    def unread_bytes(self) -> int:
        """Return how many bytes of answers wait for the client to read."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def measure_backlog(self) -> None:
        """Compare the unread answers with those that the client has read since the last call."""
        unread_bytes = self.unread_bytes()
        read_bytes = self.written_bytes - unread_bytes
        progress_bytes = read_bytes - self._read_bytes_at_sweep
        self._read_bytes_at_sweep = read_bytes
        self.backlog_periods = unread_bytes / max(1, progress_bytes)

    def set_reading(self, enabled: bool) -> None:
        """Resume or pause reading."""
        if self.transport is None:
            return
        if enabled:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def discard(self, size_bytes: int) -> None:
        """Count bytes received on a broken connection, and stop reading once they are too many.

        Reading a body of 60 MB to its end would take processor time from all other connections.
        """
        self.discarded_bytes += size_bytes
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.set_reading(False)

    def close(self) -> None:
        """End the connection after the data written so far has been sent."""
        self.fd = NO_DESCRIPTOR
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End the connection at once.

        The descriptor is reset first, since the system soon reuses the number of a closed one for
        another connection.
        """
        self.fd = NO_DESCRIPTOR
        if self.transport is not None:
            self.transport.abort()

    def has_ended(self) -> bool:
        """Return whether the client has ended the connection, even if that is not read yet."""
        return self.fd >= 0 and has_ended(self.fd)

    def has_input(self) -> bool:
        """Return whether bytes from the client lie unread in the system's buffer."""
        return self.fd >= 0 and has_input(self.fd)
