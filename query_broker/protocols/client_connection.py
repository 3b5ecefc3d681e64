"""One client connection in the binary protocol: requests in, whole answers out."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from ..dispatch.dispatcher import Dispatcher, InvalidRequestError
from ..dispatch.requests import ActiveRequest
from ..timer_wheel import Timer
from . import client_frames as frames
from .client_request import parse_request
from .socket_state import has_ended, has_input

MOST_OPEN = 32
# bytes waiting for a slow reader; past this its requests are not read any more
HIGH_WATER = 256 * 1024
S = 1_000_000_000
FIRST = 2 * S  # ns from connecting in which a whole frame must be here
WHOLE = 2 * S  # ns from a frame's first byte to its last, where nothing else is open
IDLE = 5 * S  # ns; usual clients close after 4 s idle
LINGER = 1 * S  # ns that a broken connection is read on, so that the error is not lost with a reset
MOST_DISCARDED = 1 << 20  # bytes read on in that time
TURN = 32  # frames of one connection before everybody else's turn
AHEAD = 64 * 1024  # bytes that are read on for departures where what came before waits for its turn
SKIMMED = 2_048  # frames looked at for departures in a turn
MOST_AHEAD = 4 * MOST_OPEN  # requests of which a departure is heard before they are taken


class Front(Protocol):
    """The side of the broker that admits clients."""

    dispatcher: Dispatcher
    partial: int

    def ready(self) -> bool: ...

    def came(self, connection: ClientConnection) -> bool: ...

    def went(self, connection: ClientConnection) -> None: ...


class ClientConnection(asyncio.Protocol):
    def __init__(self, front: Front) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.fd = -1
        self.parser = frames.FrameParser()
        self.open: dict[int, ActiveRequest | None] = {}  # None while the broker is being asked
        self.last_stream = 0
        self.broken = False  # nothing more is read; it is about to end
        self.ended = False  # our side has ended: nothing more is written
        self.spoken = False  # a whole frame has come
        # first: when the present frame began
        self.used = self.begun = self.first = front.dispatcher.now()
        self.discarded = 0
        self.partial = 0  # bytes held of frames that are not whole yet
        self.reading_on = False  # whole frames wait for this connection's next turn
        self.recent: dict[str, None] = {}  # its last ids
        self.ahead: set[int] = set()  # streams of requests that wait in the parser
        self.dropped: set[int] = set()  # of these, those that nobody waits for any more
        self.paused_at = 0  # since when the reader has been slow; 0: it is not
        self.deaf = False  # what it says from now on is not read
        self.timer: Timer | None = None
        self.half_closed = False  # it asks nothing more, and waits for its answers

    # --- from the socket ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER)
        self.fd = transport.get_extra_info("socket").fileno()
        if self.front.came(self):
            self.timer = self.front.dispatcher.wheel.at(self.used + FIRST, self._look)
        else:
            self.broken = True
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.broken:
            # Danger: a body of 60 MB read to its end would take the processor from everybody else.
            self.discarded += len(data)
            if self.discarded > MOST_DISCARDED and self.transport is not None:
                self.transport.pause_reading()
            return
        self.used = self.front.dispatcher.now()
        if not self.parser.buffered():
            self.begun = self.used
        self.parser.feed(data)
        self._hear_departures() if self.reading_on else self._read_on()
        self._count_partial()
        if self.front.partial > self.front.dispatcher.room and not self.broken:
            self._break("no room for more frames that are not whole")

    def _count_partial(self) -> None:
        held = self.parser.buffered()
        self.front.partial += held - self.partial
        self.partial = held

    def _read_on(self) -> None:
        """Danger: a chunk can hold 25,000 frames; all others would stand still until the last is
        answered.
        """
        self.reading_on = False
        try:
            looked = False
            for _ in range(TURN):
                if self.paused_at:
                    return self._hear_departures()
                if self.broken or (frame := self.parser.next()) is None:
                    self.ahead.clear()
                    self.dropped.clear()
                    return
                if frame.type == frames.REQUEST and not looked:
                    looked = True
                    if self._has_left():
                        return
                self.first, self.spoken, self.begun = self.begun, True, self.used
                self._frame(frame)
        except frames.BadFrame as error:
            self._break(str(error))
        except Exception as error:  # no input may raise out of a callback
            self._fault(error)
        else:
            self.reading_on = True
            self._hear_departures()
            asyncio.get_running_loop().call_soon(self._resume)

    def _hear_departures(self) -> None:
        """Danger: a client that stops waiting says so behind all that it asked before; while that
        waits for its turn, or for answers to be read, attempts would begin for nobody.
        """
        try:
            for kind, stream in self.parser.skim(SKIMMED):
                if kind == frames.REQUEST and len(self.ahead) < MOST_AHEAD:
                    self.ahead.add(stream)
                elif kind == frames.ABANDON and stream in self.open:
                    self._abandon(stream)
                elif kind == frames.ABANDON and stream in self.ahead:
                    self.dropped.add(stream)
        except Exception as error:  # no input may raise out of a callback
            self._fault(error)
        self._read_if_wanted()

    def _abandon(self, stream: int) -> None:
        if (request := self.open.pop(stream, None)) is not None:
            self.front.dispatcher.abandon(request)

    def _fault(self, error: Exception) -> None:
        self.front.dispatcher.log("client", f"{type(error).__name__}: {error}")
        self._break("internal error")

    def _has_left(self) -> bool:
        """Danger: who sends much and goes has gone before the last of it is read, and nothing of it
        may begin then.
        """
        if (
            self.fd < 0
            or self.front.dispatcher.terms.half_close == "answer"
            or not has_ended(self.fd)
        ):
            return False
        self.drop()
        self._abandon_all()
        self.broken = True
        return True

    def _resume(self) -> None:
        self._read_on()
        self._read_if_wanted()

    def hold(self) -> None:
        """What comes is kept, not read, until its turn."""
        self.reading_on = True

    def go_on(self) -> None:
        """Its turn has come."""
        if not self.broken:
            self._resume()
            self._count_partial()

    def _read_if_wanted(self) -> None:
        """No more is read than departures need while frames wait for their turn, or answers for
        their reader. Danger: behind more than that no departure can be heard: nothing further
        begins until then.
        """
        if self.transport is None or self.transport.is_closing():
            return
        full = (
            not self.broken
            and bool(self.reading_on or self.paused_at)
            and (
                self.parser.buffered() > AHEAD
                or self.front.partial > self.front.dispatcher.room // 2
            )
        )
        if full:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        if self.deaf != full:
            self.deaf = full
            for request in self.open.values():
                if request is not None:
                    request.client_unreadable = self.deaf

    def eof_received(self) -> bool:
        """A client that ends its side has left, unless operators say that it may still wait for
        answers.
        """
        waits = self.reading_on or self.paused_at  # what is held are whole frames
        if (
            self.front.dispatcher.terms.half_close != "answer"
            or self.broken
            or self.parser.buffered()
            and not waits
        ):
            # Danger: where answers are still unread the loss of the connection is told only after
            # them.
            self.broken = True
            self._abandon_all()
            return False
        self.half_closed = True
        self._end_if_answered()
        return True

    def _end_if_answered(self) -> None:
        if self.half_closed and not self.open and not self.parser.buffered():
            self.let_go()

    def connection_lost(self, exc: Exception | None) -> None:
        self.broken = True
        self.transport, self.fd = None, -1
        self.parser.clear()
        self._count_partial()
        if self.timer is not None:
            self.timer.cancel()
        self.front.went(self)
        self._abandon_all()

    def _look(self) -> None:
        """Danger: who says nothing, stops in the middle of a frame or stays for good after one
        request holds a descriptor that usual clients need. One timer a connection; it looks again
        when that may be due.
        """
        now = self.front.dispatcher.now()
        # Danger: who stood still itself, or was kept from its core, has not read what came
        # meanwhile: a close over it would reset the connection, and lose requests that came long
        # before.
        if self.open or self.unread() or self.reading_on or self.fd >= 0 and has_input(self.fd):
            due = now + WHOLE
        elif self.parser.buffered():
            due = self.begun + WHOLE
        else:
            due = self.used + IDLE if self.spoken else self.begun + FIRST
        if due > now:
            self.timer = self.front.dispatcher.wheel.at(due, self._look)
        elif self.spoken and not self.parser.buffered():
            self.let_go()
        else:
            self._break("no whole frame in time")

    def pause_writing(self) -> None:
        """Danger: a client that does not read while it asks would fill our memory with its
        answers.
        """
        self.paused_at = self.front.dispatcher.now()
        self._read_if_wanted()

    def resume_writing(self) -> None:
        self.paused_at = 0
        if not self.reading_on:
            self._read_on()
        self._read_if_wanted()
        self._count_partial()

    def _frame(self, frame: frames.Frame) -> None:
        if frame.type == frames.REQUEST:
            self._request(frame.stream, frame.payload)
        elif frame.type == frames.ABANDON:
            self._abandon(frame.stream)
        else:
            frames.read_fields(frame.payload)
            self._write(frames.ready(frame.stream, self.front.ready()))

    def _request(self, stream: int, payload: bytes) -> None:
        if stream <= self.last_stream:
            raise frames.BadFrame(f"stream {stream} is not new on this connection")
        self.last_stream = stream
        if stream in self.dropped:
            return
        try:
            ask = parse_request(payload)
            if ask.client_request_id in self.recent:
                # Danger: the same frame hundreds of times over would take a tenant's share from its
                # others.
                raise InvalidRequestError("trace: is not new on this connection")
            self.recent[ask.client_request_id] = None
            if len(self.recent) > MOST_OPEN:
                del self.recent[next(iter(self.recent))]
            if len(self.open) >= MOST_OPEN:
                raise InvalidRequestError(f"more than {MOST_OPEN} open requests on one connection")
            self.open[stream] = None
            request = self.front.dispatcher.submit(self, stream, ask, self.first)
        except InvalidRequestError as error:
            self.front.dispatcher.log("client", f"unusable request: {error}")
            self.failed(stream, str(error))
            return
        if stream in self.open:
            self.open[stream] = request

    def _break(self, why: str) -> None:
        """An error that belongs to no request; nothing more on this connection can be read. What
        was taken before it gets its answer first.
        """
        self.front.dispatcher.log("client", f"broken connection: {why}")
        self.broken = True
        for stream in [stream for stream, request in self.open.items() if request is None]:
            self.failed(stream, why)  # a fault while the broker was being asked
        self.front.dispatcher.give_up([r for r in self.open.values() if r is not None])
        self._write(frames.answer(0, frames.FAILED, {}, why.encode()))
        self.shut()

    def shut(self) -> None:
        """Nothing that comes from now on is read as a request. Danger: to close with bytes unread
        resets the connection, and that can destroy what was written last: only our side is ended,
        after all of that, and the other read on within bounds.
        """
        self.broken = True
        self.parser.clear()
        self._count_partial()
        self._abandon_all()
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None and not self.ended and not self.transport.is_closing():
            self.ended = True
            self.transport.write_eof()
            self.timer = self.front.dispatcher.wheel.at(
                self.front.dispatcher.now() + LINGER, self.drop
            )

    def _abandon_all(self) -> None:
        requests, self.open = [r for r in self.open.values() if r is not None], {}
        for request in requests:
            self.front.dispatcher.abandon(request)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.ended and not self.transport.is_closing():
            self.transport.write(data)

    # --- from the broker ---

    def served(self, stream: int, body: bytes) -> None:
        self._answer(stream, frames.answer(stream, frames.SERVED, {}, body))

    def rejected(self, stream: int, pause_ms: int) -> None:
        self._answer(stream, frames.answer(stream, frames.REFUSED, {"pause": str(pause_ms)}))

    def failed(self, stream: int, reason: str) -> None:
        self._answer(stream, frames.answer(stream, frames.FAILED, {}, reason.encode()))

    def _answer(self, stream: int, data: bytes) -> None:
        """Each answer is one write of one whole frame; asyncio keeps what the socket does not
        take.
        """
        self.open.pop(stream, None)
        # Danger: idle time counted from the request ends the connection right under a late answer.
        self.used = self.front.dispatcher.now()
        self._write(data)
        if self.half_closed:
            self._end_if_answered()

    def leave_off(self) -> None:
        """No new request on this connection."""
        self._write(frames.frame(frames.NO_MORE, 0))

    def idle(self) -> bool:
        """Nothing is owed to it."""
        return not self.open and self.unread() == 0

    def unread(self) -> int:
        """Bytes of answers that wait for the client to read."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def let_go(self) -> None:
        """It is idle: what has been written still leaves."""
        self.broken, self.fd = True, -1
        if self.transport is not None:
            self.transport.close()

    def drop(self) -> None:
        # danger: the number of a descriptor that is closed is soon another connection's
        self.fd = -1
        if self.transport is not None:
            self.transport.abort()
