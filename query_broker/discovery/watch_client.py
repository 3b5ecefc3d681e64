"""The connection to the event bus: resumes after cuts, notices that the bus has gone silent, and
moves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol, cast

from . import event_codec as bus

SILENT = 1_700_000_000  # ns; a beat comes every second, and after a stop news counts as told in 4 s
# s; the first and the longest wait before the next try: after a break told in 2 s
RETRY = (0.05, 0.4)
CONNECT = 0.5  # s
LOWER = 2  # beats in turn that name less than we have, after which the numbering has begun anew


class Pace(Protocol):
    """Where a whole fleet calls on one bus: when to call, and how long to wait for it."""

    first_wait: float  # s

    def wait(self) -> float:
        """Seconds to the next call, after one that failed."""

    def time_out(self) -> float:
        """Seconds in which a connection has to come up."""

    def silent(self) -> int:
        """Nanoseconds without a word after which a connection is given up."""

    def spoke(self) -> None:
        """The bus has told, or confirmed, what it has up to now."""


class FeedConnection(asyncio.Protocol):
    def __init__(self, feed: WatchClient, address: tuple[str, int]) -> None:
        self.feed, self.address = feed, address
        self.parser = bus.LineParser()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Danger: uvloop's transports are no subclass of asyncio's; a test by isinstance drops every
        # write.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(b"from %d\n" % self.feed.last)
        self.feed.came_up(self)

    def data_received(self, data: bytes) -> None:
        self.feed.heard = self.feed.now()
        try:
            for line in self.parser.feed(data):
                self.feed.line(line)
        except bus.BadLine as error:
            self.feed.log("bus", str(error))
            self.drop()
        except Exception as error:  # no input may raise out of a callback
            self.feed.log("bus", f"{type(error).__name__}: {error}")
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.feed.lost(self)

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class WatchClient:
    """Keeps one connection to the bus and hands its events on in order, each once."""

    def __init__(
        self,
        address: tuple[str, int],
        last: int,
        take: Callable[[bus.EndpointListEvent], None],
        now: Callable[[], int],
        log: Callable[[str, str], None],
        draw: Callable[[], float],
        pace: Pace | None = None,
    ) -> None:
        self.address, self.last, self.take, self.now, self.log = address, last, take, now, log
        # from 0 to 1; None: the bus is ours alone, or takes any number
        self.draw, self.pace = draw, pace
        self.lower = 0  # beats in turn that named less than we have
        self.heard = now()
        self.connection: FeedConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.wait = RETRY[0]
        self.bad_at = -1  # the last event we had when a line could not be read

    def start(self) -> None:
        self._connect_after(0.0 if self.pace is None else self.pace.first_wait)

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.drop()

    def move(self, address: tuple[str, int]) -> None:
        """Connect to another address at once. Danger: the old one may still tell what the new one,
        not yet up, can't: its connection is kept until the new one has come up; events are known by
        their number.
        """
        if address != self.address:
            self.address, self.wait = address, RETRY[0]
            self._connect_after(0.0)

    def _connect_after(self, wait: float) -> None:
        if self.task is not None:
            self.task.cancel()
        self.task = asyncio.get_running_loop().create_task(self._connect(wait))

    async def _connect(self, wait: float) -> None:
        await asyncio.sleep(wait)
        address = self.address
        try:
            async with asyncio.timeout(CONNECT if self.pace is None else self.pace.time_out()):
                await asyncio.get_running_loop().create_connection(
                    partial(FeedConnection, self, address), *address
                )
        except (OSError, TimeoutError) as error:
            if self.task is asyncio.current_task():
                self.log("bus", f"no connection: {error or 'no answer in time'}")
                self.task = None
                self._again()

    def came_up(self, connection: FeedConnection) -> None:
        if connection.address != self.address:  # given up while it was coming up
            connection.drop()
            return
        self.task, self.heard = None, self.now()
        before, self.connection = self.connection, connection
        if before is not None:
            before.drop()

    def _again(self) -> None:
        """Danger: all brokers lose the bus at one moment, and would come back to it together."""
        self._connect_after(
            self.wait * (0.5 + self.draw() / 2) if self.pace is None else self.pace.wait()
        )
        self.wait = min(RETRY[1], self.wait * 2)

    def lost(self, connection: FeedConnection) -> None:
        if connection is self.connection:
            self.connection = None
            self.log("bus", f"connection lost after event {self.last}")
            if self.task is None:  # else a connection to another address is on its way
                self._again()

    def check(self, now: int) -> None:
        """Danger: a bus that is cut off says nothing, and news counts as told all the same."""
        if self.connection is not None and now - self.heard > (
            SILENT if self.pace is None else self.pace.silent()
        ):
            self.log("bus", "no beat: connecting anew")
            self.heard = now
            self.connection.drop()

    def line(self, line: bytes) -> None:
        try:
            event = bus.parse_line(line)
        except bus.BadLine as error:
            if self.bad_at != self.last:
                self.bad_at = self.last
                raise  # perhaps spoilt on its way: connect anew and ask for it again
            self.log("bus", f"read past a line after event {self.last}: {error}")
            return
        offset = event if isinstance(event, int) else event.offset
        # A beat names the last event there is: one that we do not have was missed. Past a line that
        # can't be read a gap is to be expected.
        if offset > self.last + (0 if isinstance(event, int) else 1) and self.bad_at != self.last:
            raise bus.BadLine(f"events after {self.last} are missing before {offset}")
        self.wait = RETRY[0]
        if not isinstance(event, int) and offset > self.last:
            self.last = offset
            self.take(event)
        if self.pace is not None:
            if isinstance(event, int) and offset < self.last:
                self._numbered_lower(offset)
            else:
                self.lower = 0
                self.pace.spoke()

    def _numbered_lower(self, offset: int) -> None:
        """Danger: a bus that begins its numbers anew, with a fleet that holds larger ones, would
        never be heard again. One beat may be a replica's that lags; the whole list costs the
        service more.
        """
        self.lower += 1
        if self.lower >= LOWER and self.connection is not None:
            self.log(
                "bus",
                f"the numbers begin anew: {offset} after {self.last}, asking for the whole list",
            )
            self.last = self.lower = 0
            self.connection.drop()
