"""Clients on loopback: one that asks what a test says, and one that keeps the account of many
requests.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass
from typing import Any

from ..protocols import client_frames as frames

MOST_ASKED = 32  # open requests on one connection, the protocol's limit


@dataclass(slots=True)
class Asked:
    """One request and what became of it. Times in Unix nanoseconds; ``code`` -1: no answer came."""

    trace: str
    tenant: str
    route: str
    sent: int
    patience: int
    code: int = -1
    answered: int = 0
    answers: int = 0
    pause: int = 0
    nonce: str = ""

    def in_time(self, aim: int) -> bool:
        return self.code == frames.SERVED and self.answered - self.sent <= aim


class Counter(asyncio.Protocol):
    """One connection that asks without waiting, and books what is answered."""

    def __init__(self, book: Book) -> None:
        self.book = book
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.open: dict[int, Asked] = {}
        self.stream = 0
        self.ready: asyncio.Future[bool] | None = None
        self.leaving = False  # the broker has said: no new request here

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.open.clear()

    def usable(self) -> bool:
        return self.transport is not None and not self.leaving and len(self.open) < MOST_ASKED

    def ask(self, asked: Asked, statement: bytes, weight: float) -> None:
        assert self.transport is not None
        self.stream += 1
        self.open[self.stream] = asked
        fields = {
            "route": asked.route,
            "trace": asked.trace,
            "patience": str(asked.patience // 1_000_000),
            "weight": f"{weight:.1f}",
            "ram": "16",
        }
        for name, value in (("customer", asked.tenant), ("nonce", asked.nonce)):
            if value:
                fields[name] = value
        self.transport.write(
            frames.frame(frames.REQUEST, self.stream, frames.write_fields(fields) + statement)
        )

    def ask_ready(self) -> asyncio.Future[bool]:
        assert self.transport is not None
        self.ready = asyncio.get_running_loop().create_future()
        self.transport.write(frames.frame(frames.ASK_READY, 0, b"\0"))
        return self.ready

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= 9:
            length = int.from_bytes(self.buffer[:4], "big")
            if len(self.buffer) < 4 + length:
                return
            _, kind, stream = frames.HEAD.unpack_from(self.buffer)
            payload = bytes(self.buffer[frames.HEAD.size : 4 + length])
            del self.buffer[: 4 + length]
            if kind == frames.ANSWER:
                self._answer(stream, payload)
            elif kind == frames.READY and self.ready is not None and not self.ready.done():
                self.ready.set_result(payload[:1] == b"\0")
            elif kind == frames.NO_MORE:
                self.leaving = True

    def _answer(self, stream: int, payload: bytes) -> None:
        asked = self.open.pop(stream, None)
        if asked is None:
            self.book.strays += 1  # an answer to nothing that is open: a second one
            return
        asked.answers += 1
        asked.code, asked.answered = payload[0], time.time_ns()
        fields, _ = frames.read_fields(payload[1:])
        asked.pause = int(fields.get("pause", 0))


class Book:
    """Every request that was asked of one address, over as many connections as it takes."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.asked: list[Asked] = []
        self.counters: list[Counter] = []
        self.strays = 0
        self.ids = itertools.count(1)

    async def counter(self) -> Counter:
        _, counter = await asyncio.get_running_loop().create_connection(
            lambda: Counter(self), self.host, self.port
        )
        self.counters.append(counter)
        return counter

    async def ask(
        self,
        tenant: str,
        route: str,
        work_ms: float,
        patience: int,
        *,
        threads: int = 1,
        weight: float | None = None,
        rows: int = 1,
        group: int = 1,
        nonce: str = "",
    ) -> Asked:
        """``weight``: the estimate that is told, where it is not the true work; ``nonce``: the
        key.
        """
        number = next(self.ids)
        asked = Asked(f"{number:016x}", tenant, route, time.time_ns(), patience, nonce=nonce)
        statement = (
            f"SELECT * FROM sales_{group}.orders /* id={number} work={work_ms:.0f} "
            f"threads={threads} rows={rows} */"
        ).encode()
        counter = next((c for c in self.counters if c.usable()), None)
        if counter is None:
            self.counters = [c for c in self.counters if c.transport is not None]
            try:
                counter = await self.counter()
            except OSError:
                self.asked.append(asked)
                return asked
        asked.sent = time.time_ns()
        self.asked.append(asked)
        counter.ask(asked, statement, work_ms if weight is None else weight)
        return asked

    async def settle(self, seconds: float) -> None:
        """Wait until nothing is open, or for so long."""
        end = time.monotonic() + seconds
        while any(c.open for c in self.counters) and time.monotonic() < end:
            await asyncio.sleep(0.01)

    def close(self) -> None:
        for counter in self.counters:
            if counter.transport is not None:
                counter.transport.close()

    def of(self, tenant: str) -> list[Asked]:
        return [a for a in self.asked if a.tenant == tenant]


def quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0
