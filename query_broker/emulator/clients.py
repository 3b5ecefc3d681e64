"""Emulated clients on loopback, and a log of every request that they send."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass
from typing import Any

from ..overriding import override
from ..protocols import client_frames as frames

NS_PER_MS = 1_000_000
#: The protocol's limit on the requests in flight on one connection.
MAX_OPEN_REQUESTS = 32
#: Size of a frame's length field; the length in it does not include the field itself.
LENGTH_BYTES = 4
POLL_INTERVAL_S = 0.01
#: The memory estimate that every request states.
MEMORY_MB = 16


@dataclass(slots=True)
class RequestRecord:
    """One request and its outcome.

    Attributes:
        request_id: The id that the client gave the request.
        tenant: The tenant that the request names; empty if it names none.
        request_class: The request class.
        sent_ns: When the request was sent, in Unix time.
        timeout_ns: How long the client waits for an answer.
        code: The code of the answer; -1 while there is none.
        answered_ns: When the answer came, in Unix time; 0 while there is none.
        answer_count: Number of answers; more than one is an error of the broker.
        retry_after_ms: The delay before a retry that a rejection asks for.
        idempotency_key: The key of an idempotent write; empty without one.
    """

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

    def met_objective(self, objective_ns: int) -> bool:
        """Return whether the request was served within this latency objective."""
        return self.code == frames.SERVED and self.answered_ns - self.sent_ns <= objective_ns


class EmulatedClient(asyncio.Protocol):
    """One connection that pipelines requests and records their answers.

    Attributes:
        request_log: The log that counts answers without an open request.
        open_requests: Requests without an answer, by stream number.
        last_stream: The stream number of the last request.
        readiness: The pending or last result of a readiness check; None before the first check.
        broker_draining: Whether the broker has asked for no more requests on this connection.
    """

    def __init__(self, request_log: RequestLog) -> None:
        """Create the protocol of a connection that is not established yet."""
        self.request_log = request_log
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.open_requests: dict[int, RequestRecord] = {}
        self.last_stream = 0
        self.readiness: asyncio.Future[bool] | None = None
        self.broker_draining = False

    @override
    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the open requests; their records keep the code for no answer."""
        self.transport = None
        self.open_requests.clear()

    def has_capacity(self) -> bool:
        """Return whether a request may be sent on this connection."""
        if self.transport is None or self.broker_draining:
            return False
        return len(self.open_requests) < MAX_OPEN_REQUESTS

    def send_request(
        self, record: RequestRecord, statement: bytes, estimated_work_ms: float
    ) -> None:
        """Send a request; the estimate of its work is in thread-milliseconds."""
        assert self.transport is not None
        self.last_stream += 1
        self.open_requests[self.last_stream] = record
        fields = {
            "route": record.request_class,
            "trace": record.request_id,
            "patience": str(record.timeout_ns // NS_PER_MS),
            "weight": f"{estimated_work_ms:.1f}",
            "ram": str(MEMORY_MB),
        }
        if record.tenant:
            fields["customer"] = record.tenant
        if record.idempotency_key:
            fields["nonce"] = record.idempotency_key
        payload = frames.write_fields(fields) + statement
        self.transport.write(frames.frame(frames.REQUEST, self.last_stream, payload))

    def check_readiness(self) -> asyncio.Future[bool]:
        """Send the front end's readiness check and return the future result."""
        assert self.transport is not None
        self.readiness = asyncio.get_running_loop().create_future()
        self.transport.write(frames.frame(frames.ASK_READY, 0, b"\0"))
        return self.readiness

    @override
    def data_received(self, data: bytes) -> None:
        """Handle the frames that are complete."""
        self.buffer += data
        while len(self.buffer) >= frames.HEAD.size:
            end = LENGTH_BYTES + int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if len(self.buffer) < end:
                return
            _, kind, stream = frames.HEAD.unpack_from(self.buffer)
            payload = bytes(self.buffer[frames.HEAD.size : end])
            del self.buffer[:end]
            self._handle_frame(kind, stream, payload)

    def _handle_frame(self, kind: int, stream: int, payload: bytes) -> None:
        if kind == frames.ANSWER:
            self._record_answer(stream, payload)
        elif kind == frames.READY:
            if self.readiness is not None and not self.readiness.done():
                self.readiness.set_result(payload[:1] == b"\0")
        elif kind == frames.NO_MORE:
            self.broker_draining = True

    def _record_answer(self, stream: int, payload: bytes) -> None:
        record = self.open_requests.pop(stream, None)
        if record is None:
            self.request_log.unmatched_answers += 1
            return
        record.answer_count += 1
        record.code = payload[0]
        record.answered_ns = time.time_ns()
        fields, _ = frames.read_fields(payload[1:])
        record.retry_after_ms = int(fields.get("pause", 0))


def make_statement(number: int, work_ms: float, threads: int, rows: int, table_group: int) -> bytes:
    """Return a statement whose comment tells the emulated engine how to run it."""
    hints = f"id={number} work={work_ms:.0f} threads={threads} rows={rows}"
    return f"SELECT * FROM sales_{table_group}.orders /* {hints} */".encode()


class RequestLog:
    """All requests sent to one address, over as many connections as needed.

    Attributes:
        records: The requests, in the order in which they were sent.
        clients: The connections.
        unmatched_answers: Number of answers without an open request, such as second answers.
    """

    def __init__(self, host: str, port: int) -> None:
        """Create an empty log of requests to an address."""
        self.host = host
        self.port = port
        self.records: list[RequestRecord] = []
        self.clients: list[EmulatedClient] = []
        self.unmatched_answers = 0
        self.request_numbers = itertools.count(1)

    async def connect(self) -> EmulatedClient:
        """Open another connection.

        Raises:
            OSError: The connection failed.
        """
        _, client = await asyncio.get_running_loop().create_connection(
            lambda: EmulatedClient(self), self.host, self.port
        )
        self.clients.append(client)
        return client

    async def send_request(
        self,
        tenant: str,
        request_class: str,
        work_ms: float,
        timeout_ns: int,
        *,
        threads: int = 1,
        estimated_work_ms: float | None = None,
        rows: int = 1,
        table_group: int = 1,
        idempotency_key: str = "",
    ) -> RequestRecord:
        """Send a request on an open connection with capacity, else on a new one.

        Args:
            tenant: The tenant; empty names none.
            request_class: The request class.
            work_ms: The true work of the query in thread-milliseconds.
            timeout_ns: How long the client waits for an answer.
            threads: Number of threads that the query uses.
            estimated_work_ms: The stated estimate of the work; None states the true work.
            rows: Number of rows of the result.
            table_group: Number of the table group that the query reads.
            idempotency_key: The key of an idempotent write; empty without one.

        Returns:
            The record of the request, which stays without an answer if no connection can be opened.
        """
        number = next(self.request_numbers)
        request_id = f"{number:016x}"
        now_ns = time.time_ns()
        record = RequestRecord(request_id, tenant, request_class, now_ns, timeout_ns)
        record.idempotency_key = idempotency_key
        statement = make_statement(number, work_ms, threads, rows, table_group)
        client = await self._find_client()
        self.records.append(record)
        if client is not None:
            record.sent_ns = time.time_ns()
            estimate_ms = work_ms if estimated_work_ms is None else estimated_work_ms
            client.send_request(record, statement, estimate_ms)
        return record

    async def _find_client(self) -> EmulatedClient | None:
        """Return an open connection with capacity, else a new one; None if opening it fails."""
        for client in self.clients:
            if client.has_capacity():
                return client
        self.clients = [client for client in self.clients if client.transport is not None]
        try:
            return await self.connect()
        except OSError:
            return None

    async def wait_until_idle(self, seconds: float) -> None:
        """Wait until no request is open, for this time at most."""
        end_s = time.monotonic() + seconds
        while any(client.open_requests for client in self.clients) and time.monotonic() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            if client.transport is not None:
                client.transport.close()

    def requests_of_tenant(self, tenant: str) -> list[RequestRecord]:
        """Return the requests of a tenant."""
        return [record for record in self.records if record.tenant == tenant]


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which this fraction of the values lies; 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
