"""Clients on loopback, and the log of every request that they sent."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass
from typing import Any

from ..protocols import client_frames as frames

MAX_OPEN_REQUESTS = 32  # open requests on one connection, the protocol's limit


@dataclass(slots=True)
class RequestRecord:
    """One request and what became of it. Times in Unix nanoseconds; ``code`` -1: no answer came."""

    request_id: str
    tenant: str
    request_class: str
    sent_ns: int
    timeout_ns: int
    code: int = -1
    answered_ns: int = 0
    answer_count: int = 0
    retry_after_ms: int = 0
    idempotency_key: str = ""

    def met_objective(self, aim: int) -> bool:
        return self.code == frames.SERVED and self.answered_ns - self.sent_ns <= aim


class EmulatedClient(asyncio.Protocol):
    """One connection that asks without waiting, and books what is answered."""

    def __init__(self, book: RequestLog) -> None:
        self.log = book
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.open_requests: dict[int, RequestRecord] = {}
        self.last_stream = 0
        self.readiness: asyncio.Future[bool] | None = None
        self.broker_draining = False  # the broker has said: no new request here

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Give the open requests up; their records say that no answer came."""
        self.transport = None
        self.open_requests.clear()

    def has_capacity(self) -> bool:
        return (
            self.transport is not None
            and not self.broker_draining
            and len(self.open_requests) < MAX_OPEN_REQUESTS
        )

    def send_request(self, asked: RequestRecord, statement: bytes, weight: float) -> None:
        assert self.transport is not None
        self.last_stream += 1
        self.open_requests[self.last_stream] = asked
        fields = {
            "route": asked.request_class,
            "trace": asked.request_id,
            "patience": str(asked.timeout_ns // 1_000_000),
            "weight": f"{weight:.1f}",
            "ram": str(MEMORY_MB),
        }
        for name, value in (("customer", asked.tenant), ("nonce", asked.idempotency_key)):
            if value:
                fields[name] = value
        self.transport.write(
            frames.frame(frames.REQUEST, self.last_stream, frames.write_fields(fields) + statement)
        )

    def check_readiness(self) -> asyncio.Future[bool]:
        assert self.transport is not None
        self.readiness = asyncio.get_running_loop().create_future()
        self.transport.write(frames.frame(frames.ASK_READY, 0, b"\0"))
        return self.readiness

    def data_received(self, data: bytes) -> None:
        """Handle the complete frames."""
        self.buffer += data
        while len(self.buffer) >= frames.HEAD.size:
            end = LENGTH_BYTES + int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if len(self.buffer) < end:
                return
            _, kind, stream = frames.HEAD.unpack_from(self.buffer)
            payload = bytes(self.buffer[frames.HEAD.size : 4 + length])
            del self.buffer[: 4 + length]
            if kind == frames.ANSWER:
                self._answer(stream, payload)
            elif kind == frames.READY and self.readiness is not None and not self.readiness.done():
                self.readiness.set_result(payload[:1] == b"\0")
            elif kind == frames.NO_MORE:
                self.broker_draining = True

    def _answer(self, stream: int, payload: bytes) -> None:
        asked = self.open_requests.pop(stream, None)
        if asked is None:
            self.log.unmatched_answers += 1  # an answer to nothing that is open: a second one
            return
        asked.answer_count += 1
        asked.code, asked.answered_ns = payload[0], time.time_ns()
        fields, _ = frames.read_fields(payload[1:])
        asked.retry_after_ms = int(fields.get("pause", 0))


class RequestLog:
    """Every request that was asked of one address, over as many connections as it takes."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.records: list[RequestRecord] = []
        self.clients: list[EmulatedClient] = []
        self.unmatched_answers = 0
        self.ids = itertools.count(1)

    async def connect(self) -> EmulatedClient:
        _, counter = await asyncio.get_running_loop().create_connection(
            lambda: EmulatedClient(self), self.host, self.port
        )
        self.clients.append(counter)
        return counter

    async def send_request(
        self,
        tenant: str,
        request_class: str,
        work_ms: float,
        timeout_ns: int,
        *,
        threads: int = 1,
        weight: float | None = None,
        rows: int = 1,
        group: int = 1,
        nonce: str = "",
    ) -> RequestRecord:
        """``weight``: the estimate that is told, where it is not the true work; ``nonce``: the
        key.
        """
        number = next(self.ids)
        asked = RequestRecord(
            f"{number:016x}", tenant, route, time.time_ns(), patience, idempotency_key=nonce
        )
        statement = (
            f"SELECT * FROM sales_{group}.orders /* id={number} work={work_ms:.0f} "
            f"threads={threads} rows={rows} */"
        ).encode()
        counter = next((c for c in self.clients if c.has_capacity()), None)
        if counter is None:
            self.clients = [c for c in self.clients if c.transport is not None]
            try:
                counter = await self.connect()
            except OSError:
                self.records.append(asked)
                return asked
        asked.sent_ns = time.time_ns()
        self.records.append(asked)
        counter.send_request(asked, statement, work_ms if weight is None else weight)
        return asked

    async def wait_until_idle(self, seconds: float) -> None:
        """Wait until nothing is open, or for so long."""
        end = time.monotonic() + seconds
        while any(c.open_requests for c in self.clients) and time.monotonic() < end:
            await asyncio.sleep(0.01)

    def close(self) -> None:
        for counter in self.clients:
            if counter.transport is not None:
                counter.transport.close()

    def of_tenant(self, tenant: str) -> list[RequestRecord]:
        return [a for a in self.records if a.tenant == tenant]


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which this fraction of the values lies; 0 of no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
