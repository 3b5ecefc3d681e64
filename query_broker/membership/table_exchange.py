"""Exchange of complete member tables over TCP (anti-entropy).

The client sends its digest; the server answers with its own, and with its table if they differ; the
client then sends its table. Each message is a frame: its length in four bytes, big endian, and the
message as the codec writes it.
"""

from __future__ import annotations

import asyncio

from .addresses import MAX_LOGGED_ADDRESS_CHARACTERS, split_address
from .codec import MAX_FRAME_BYTES
from .errors import MessageRejectedError, RejectReason
from .message_exchange import MessageExchange
from .messages import Identity, Sync

LENGTH_BYTES = 4
MAX_INCOMING_EXCHANGES = 8
MAX_OUTGOING_EXCHANGES = 2
EXCHANGE_TIMEOUT_S = 3.0
ANY_PROCESS = Identity("", b"")


class TableExchange:
    """The client and the server side of table exchanges.

    Attributes:
        is_closed: Whether new exchanges are refused.
    """

    def __init__(self, messages: MessageExchange) -> None:
        """Start without running exchanges."""
        self._messages = messages
        self._detector = messages.detector
        self._host = messages.host
        self._incoming_count = 0
        self._outgoing: set[asyncio.Task[None]] = set()
        self.is_closed = False

    def start(self, address: str) -> None:
        """Exchange tables with the member at the address unless too many exchanges are running."""
        if len(self._outgoing) >= MAX_OUTGOING_EXCHANGES or self.is_closed:
            return
        task = asyncio.get_running_loop().create_task(self._sync_with(address))
        self._outgoing.add(task)
        task.add_done_callback(self._outgoing.discard)

    def close(self) -> None:
        """Cancel the exchanges that this process has started."""
        self.is_closed = True
        for task in list(self._outgoing):
            task.cancel()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle a connection from another member."""
        if self._incoming_count >= MAX_INCOMING_EXCHANGES or self.is_closed:
            writer.transport.abort()
            return
        self._incoming_count += 1
        try:
            await asyncio.wait_for(self._answer(reader, writer), EXCHANGE_TIMEOUT_S)
        except (OSError, EOFError, TimeoutError, MessageRejectedError):
            pass
        except Exception as error:  # No peer may end the process.
            self._host.log(f"serving a table exchange failed: {type(error).__name__}: {error}")
        finally:
            self._incoming_count -= 1
            writer.close()

    def table_message(self, is_request: bool, with_table: bool) -> Sync:
        """Return a message with the own digest, and with the own table if `with_table`."""
        claims = self._detector.claims() if with_table else ()
        return Sync(self._detector.table.digest(), is_request, claims)

    async def read_frame(self, reader: asyncio.StreamReader) -> Sync:
        """Read and verify a frame.

        Raises:
            MessageRejectedError: The frame is too large, or not a valid message of the exchange.
            EOFError: The connection was closed.
        """
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > MAX_FRAME_BYTES:
            raise MessageRejectedError(RejectReason.OVERSIZED)
        data = await reader.readexactly(size)
        envelope = self._messages.decode(data, MAX_FRAME_BYTES)
        if not isinstance(envelope.message, Sync):
            raise MessageRejectedError(RejectReason.UNKNOWN)
        self._detector.merger.merge(self._host.now_ns(), envelope.sender)
        return envelope.message

    def write_frame(self, writer: asyncio.StreamWriter, message: Sync) -> None:
        """Write a message as a frame."""
        data = self._messages.encode(ANY_PROCESS, message)
        writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await self.read_frame(reader)
        is_different = request.digest != self._detector.table.digest()
        self.write_frame(writer, self.table_message(is_request=False, with_table=is_different))
        await writer.drain()
        if is_different:
            self._merge(await self.read_frame(reader))

    async def _sync_with(self, address: str) -> None:
        logged_address = address[:MAX_LOGGED_ADDRESS_CHARACTERS]
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await self._request(address)
        except (OSError, EOFError, TimeoutError, ValueError, MessageRejectedError) as error:
            self._host.log(f"table exchange with {logged_address} failed: {type(error).__name__}")
        except Exception as error:  # No peer may end the process.
            self._host.log(
                f"table exchange with {logged_address} failed: {type(error).__name__}: {error}"
            )

    async def _request(self, address: str) -> None:
        host, port = split_address(address)
        reader, writer = await asyncio.open_connection(host, port, limit=MAX_FRAME_BYTES)
        try:
            self.write_frame(writer, self.table_message(is_request=True, with_table=False))
            peer_message = await self.read_frame(reader)
            if peer_message.claims:
                self.write_frame(writer, self.table_message(is_request=False, with_table=True))
                await writer.drain()
                self._merge(peer_message)
        finally:
            writer.close()

    def _merge(self, peer_message: Sync) -> None:
        now_ns = self._host.now_ns()
        self._detector.merge_table(now_ns, peer_message.claims)
        self._host.carry_out(now_ns)
