"""One client connection in the binary protocol: requests in, whole answers out."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from ..broker import Ask, Broker, Unusable, read_number
from ..state.requests import OpenRequest
from . import frames
from .statement import table_group

MOST_OPEN = 32
HIGH_WATER = 256 * 1024  # bytes waiting for a slow reader; past this its requests are not read any more
MOST_TRACE = 16
HEX = frozenset("0123456789abcdefABCDEF")


class Front(Protocol):
    """The side of the broker that admits clients."""

    broker: Broker

    def ready(self) -> bool: ...

    def came(self, connection: ClientConnection) -> bool: ...

    def went(self, connection: ClientConnection) -> None: ...


def read_ask(payload: bytes) -> Ask:
    """A request's fields and statement; Unusable says which field cannot be used."""
    fields, statement = frames.read_fields(payload)
    for name in ("route", "trace", "patience"):
        if not fields.get(name):
            raise Unusable(f"{name}: is missing")
    trace = fields["trace"]
    if len(trace) != MOST_TRACE or not HEX.issuperset(trace):
        raise Unusable("trace: is not 16 hex digits")
    if fields.get("redo", "1") not in ("0", "1"):
        raise Unusable("redo: is neither 1 nor absent")
    return Ask(
        route=fields["route"], trace=trace, customer=fields.get("customer"),
        patience_ms=read_number(fields["patience"], "patience"),
        weight_ms=read_number(fields.get("weight", "0"), "weight"),
        ram_mb=read_number(fields.get("ram", "0"), "ram"),
        retry=fields.get("redo") == "1", data_set=table_group(statement), statement=statement)


class ClientConnection(asyncio.Protocol):
    def __init__(self, front: Front) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.parser = frames.FrameParser()
        self.open: dict[int, OpenRequest | None] = {}  # None while the broker is being asked
        self.last_stream = 0
        self.broken = False
        self.heard = front.broker.now()
        self.paused_at = 0  # since when the reader has been slow; 0: it is not

    # --- from the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER)
        if not self.front.came(self):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.broken:
            return
        self.heard = self.front.broker.now()
        try:
            for frame in self.parser.feed(data):
                self._frame(frame)
                if self.broken:
                    return
        except frames.BadFrame as error:
            self._break(str(error))
        except Exception as error:  # no input may raise out of a callback
            self.front.broker.log("client", f"{type(error).__name__}: {error}")
            self._break("internal error")

    def connection_lost(self, exc: Exception | None) -> None:
        self.broken = True
        self.transport = None
        self.front.went(self)
        self._abandon_all()

    def pause_writing(self) -> None:
        """Danger: a client that does not read while it asks would fill our memory with its answers."""
        self.paused_at = self.front.broker.now()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        self.paused_at = 0
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _frame(self, frame: frames.Frame) -> None:
        if frame.type == frames.REQUEST:
            self._request(frame.stream, frame.payload)
        elif frame.type == frames.ABANDON:
            request = self.open.pop(frame.stream, None)
            if request is not None:
                self.front.broker.leave(request)
        else:
            frames.read_fields(frame.payload)
            self._write(frames.ready(frame.stream, self.front.ready()))

    def _request(self, stream: int, payload: bytes) -> None:
        if stream <= self.last_stream:
            raise frames.BadFrame(f"stream {stream} is not new on this connection")
        self.last_stream = stream
        try:
            ask = read_ask(payload)
            if len(self.open) >= MOST_OPEN:
                raise Unusable(f"more than {MOST_OPEN} open requests on one connection")
            self.open[stream] = None
            request = self.front.broker.submit(self, stream, ask)
        except Unusable as error:
            self.front.broker.log("client", f"unusable request: {error}")
            self.failed(stream, str(error))
            return
        if stream in self.open:
            self.open[stream] = request

    def _break(self, why: str) -> None:
        """An error that belongs to no request; nothing more on this connection can be read."""
        self.front.broker.log("client", f"broken connection: {why}")
        self._write(frames.answer(0, frames.FAILED, {}, why.encode()))
        self.broken = True
        if self.transport is not None:
            self.transport.close()
        self._abandon_all()

    def _abandon_all(self) -> None:
        requests, self.open = [r for r in self.open.values() if r is not None], {}
        for request in requests:
            self.front.broker.leave(request)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    # --- from the broker ---

    def served(self, stream: int, body: bytes) -> None:
        self._answer(stream, frames.answer(stream, frames.SERVED, {}, body))

    def refused(self, stream: int, pause_ms: int) -> None:
        self._answer(stream, frames.answer(stream, frames.REFUSED, {"pause": str(pause_ms)}))

    def failed(self, stream: int, reason: str) -> None:
        self._answer(stream, frames.answer(stream, frames.FAILED, {}, reason.encode()))

    def _answer(self, stream: int, data: bytes) -> None:
        """Each answer is one write of one whole frame; asyncio keeps what the socket does not take."""
        self.open.pop(stream, None)
        self._write(data)

    def leave_off(self) -> None:
        """No new request on this connection."""
        self._write(frames.frame(frames.NO_MORE, 0))

    def unread(self) -> int:
        """Bytes of answers that wait for the client to read."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()
