"""Randomised lifecycles of clients that send requests, wait, cancel, or drop their connections.

`record_lifecycles` runs them against a broker in this process and engines with faults, so that the
first byte of every attempt can be compared with the time at which its client left.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, fields
from typing import Any

from query_broker.dispatch.requests import ActiveRequest, Attempt
from query_broker.emulator.clients import EmulatedClient, RequestLog, RequestRecord
from query_broker.emulator.cluster import EmulatedCluster, broker_config, tenant_settings
from query_broker.emulator.discovery_service import target_entry
from query_broker.protocols import client_frames as frames
from query_broker.protocols.engine_writer import EngineWriter
from query_broker.server.node import Node

from .erratic_engine import ErraticEngine
from .harness.node import parse_config, serving
from .harness.results import Results
from .harness.units import NS_PER_MS, NS_PER_S

SEEDS = (101, 202, 303, 404)
ENGINE_COUNT = 4
MAX_CLIENTS = 12
WRITE_FRACTION = 0.2
TIMEOUTS_MS = (150, 400, 1_000, 3_000)
#: Some statements exceed the capacity of the socket buffers.
STATEMENT_PADDING_BYTES = (0, 0, 0, 0, 40_000, 150_000)
# Thresholds of a random number from 0 to 1 that selects what a client does; above the last one it
# waits for its answer.
CANCEL_BELOW = 0.35
DROP_BELOW = 0.37
MAX_CANCEL_DELAY_S = 0.3
MAX_DROP_DELAY_S = 0.1
#: Number of requests between two pauses, in each of which one engine stops reading.
REQUESTS_PER_PAUSE = 60
PAUSE_RANGE_S = (0.1, 1.5)
REQUESTS_PER_BURST = 4
BURSTS_PER_S = 250.0
IDLE_TIMEOUT_S = 4.0
LATE_ANSWER_WAIT_S = 0.3
#: An answer may be in transit when the client leaves, but it must arrive within this time.
ANSWER_IN_TRANSIT_NS = NS_PER_S
# Enough polls for the longest deadline: an engine that never answers holds a request until then.
MAX_RELEASE_POLLS = 400
RELEASE_POLL_S = 0.01

# The broker guarantees these without exception, so a single case breaks the bound.
MAX_REQUESTS_LEFT = 0  # every request is released eventually
MAX_BEGUN_AFTER_DEPARTURE = 0  # work for a client that is known to have left is wasted
MAX_UNANSWERED = 0  # every waiting client gets an answer
MAX_ANSWERED_TWICE = 0  # a client would take a second answer for that of another request
MAX_UNSAFE_BEGUN_TWICE = 0  # a non-idempotent query that runs twice changes data twice


@dataclass
class LifecycleCounts:
    """Counts of the outcomes of requests.

    Attributes:
        requests: Requests sent.
        unanswered: Requests whose client waited without getting an answer.
        answered_twice: Requests answered twice, or long after their client had left.
        unsafe_begun_twice: Non-idempotent requests that began to run more than once.
        departures: Requests whose client left before the answer.
        begun_after_departure: Attempts whose first byte was sent after the broker knew that the
            client had left.
    """

    requests: int = 0
    unanswered: int = 0
    answered_twice: int = 0
    unsafe_begun_twice: int = 0
    departures: int = 0
    begun_after_departure: int = 0

    def add(self, other: LifecycleCounts) -> None:
        """Add the counts of another run."""
        for field in fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)


class LifecycleRun:
    """Random clients of one broker; the same seed draws the same clients."""

    def __init__(self, port: int, engines: Sequence[ErraticEngine], seed: int) -> None:
        """Prepare a run without sending anything.

        Args:
            port: Where the broker accepts clients.
            engines: The engines behind it.
            seed: Seed of all random choices.
        """
        self._engines = engines
        self._seed = seed
        self._random = random.Random(seed)
        self._requests = RequestLog("127.0.0.1", port)
        self._unsafe_ids: set[bytes] = set()
        self._departed_ns: dict[bytes, int] = {}

    async def run(self, count: int) -> LifecycleCounts:
        """Send a number of requests, and return the counts of their outcomes."""
        for number in range(count):
            await self._send_request(number)
            if number % REQUESTS_PER_PAUSE == REQUESTS_PER_PAUSE // 2:
                self._pause_engine()
            if number % REQUESTS_PER_BURST == 0:
                await asyncio.sleep(self._random.expovariate(BURSTS_PER_S))
        for engine in self._engines:
            engine.resume()
        await self._requests.wait_until_idle(IDLE_TIMEOUT_S)
        await asyncio.sleep(LATE_ANSWER_WAIT_S)
        counts = self._count_outcomes()
        self._requests.close()
        return counts

    async def _send_request(self, number: int) -> None:
        client = await self._choose_client()
        is_write = self._random.random() < WRITE_FRACTION
        record = RequestRecord(
            f"{self._seed:04x}{number:012x}",
            "acme",
            "stock-add" if is_write else "glance",
            time.time_ns(),
            int(self._random.choice(TIMEOUTS_MS) * NS_PER_MS),
        )
        padding = b"x" * self._random.choice(STATEMENT_PADDING_BYTES)
        if is_write:
            self._unsafe_ids.add(record.request_id.encode())
        self._requests.records.append(record)
        client.send_request(record, b"SELECT 1 FROM sales_17.orders /* %b */" % padding, 1.0)
        self._schedule_departure(client, record)

    async def _choose_client(self) -> EmulatedClient:
        usable = [client for client in self._requests.clients if client.has_capacity()]
        if len(usable) >= MAX_CLIENTS:
            return self._random.choice(usable)
        return await self._requests.connect()

    def _schedule_departure(self, client: EmulatedClient, record: RequestRecord) -> None:
        loop = asyncio.get_running_loop()
        chance = self._random.random()
        if chance < CANCEL_BELOW:
            delay_s = self._random.uniform(0.0, MAX_CANCEL_DELAY_S)
            loop.call_later(delay_s, self._cancel, client, record)
        elif chance < DROP_BELOW:
            delay_s = self._random.uniform(0.0, MAX_DROP_DELAY_S)
            loop.call_later(delay_s, self._drop, client)

    def _cancel(self, client: EmulatedClient, record: RequestRecord) -> None:
        if cancel_request(client, record):
            self._departed_ns[record.request_id.encode()] = time.time_ns()

    def _drop(self, client: EmulatedClient) -> None:
        now_ns = time.time_ns()
        client.broker_draining = True  # no further request is sent on this connection
        for record in client.open_requests.values():
            self._departed_ns[record.request_id.encode()] = now_ns
        if client.transport is not None:
            client.transport.abort()

    def _pause_engine(self) -> None:
        engine = self._random.choice(self._engines)
        engine.pause()
        pause_s = self._random.uniform(*PAUSE_RANGE_S)
        asyncio.get_running_loop().call_later(pause_s, engine.resume)

    def _count_outcomes(self) -> LifecycleCounts:
        records = self._requests.records
        runs = Counter(
            query.query_id for engine in self._engines for query in engine.started_queries
        )
        return LifecycleCounts(
            requests=len(records),
            unanswered=sum(self._is_unanswered(record) for record in records),
            answered_twice=sum(record.answer_count > 1 for record in records)
            + sum(self._is_answered_late(record) for record in records),
            unsafe_begun_twice=sum(runs[request_id] > 1 for request_id in self._unsafe_ids),
            departures=len(self._departed_ns),
        )

    def _is_unanswered(self, record: RequestRecord) -> bool:
        return not record.answer_count and record.request_id.encode() not in self._departed_ns

    def _is_answered_late(self, record: RequestRecord) -> bool:
        departed_ns = self._departed_ns.get(record.request_id.encode())
        if departed_ns is None or not record.answer_count:
            return False
        return record.answered_ns > departed_ns + ANSWER_IN_TRANSIT_NS


def cancel_request(client: EmulatedClient, record: RequestRecord) -> bool:
    """Send a cancellation to the broker; return False if the client has no such open request."""
    streams = [
        stream for stream, open_record in client.open_requests.items() if open_record is record
    ]
    if not streams or client.transport is None:
        return False
    client.transport.write(frames.frame(frames.ABANDON, streams[0]))
    del client.open_requests[streams[0]]
    return True


class DepartureObserver:
    """Records the attempts that begin after the broker has learned that their client left.

    Attributes:
        begun_after_departure: The client's request id of each such attempt.
    """

    def __init__(self) -> None:
        """Create an observer without recorded departures."""
        self.begun_after_departure: list[bytes] = []
        self._departed: set[bytes] = set()

    @contextmanager
    def attached(self, node: Node) -> Iterator[None]:
        """Observe a node for as long as the context lasts."""
        cancellations: Any = node.dispatcher.cancellations
        writer_class: Any = EngineWriter
        abandon = cancellations.abandon
        original_frame_started = writer_class.frame_started

        def observe_departure(request: ActiveRequest) -> None:
            self._departed.add(request.client_request_id)
            abandon(request)

        def observe_write(writer: EngineWriter, about: object) -> None:
            self._record_write(about)
            original_frame_started(writer, about)

        cancellations.abandon = observe_departure
        writer_class.frame_started = observe_write
        try:
            yield
        finally:
            writer_class.frame_started = original_frame_started

    def _record_write(self, about: object) -> None:
        if not isinstance(about, Attempt):
            return  # a command that belongs to no request
        request_id = about.request.client_request_id
        if request_id in self._departed:
            self.begun_after_departure.append(request_id)


def broker_settings(ports: Sequence[int]) -> dict[str, Any]:
    """Return the configuration of a broker that knows its engines from the initial list alone."""
    cluster = EmulatedCluster()
    cluster.discovery_port = 1
    raw = broker_config(
        cluster,
        "127.0.0.1:1",
        tenants=tenant_settings("acme"),
        limits={"sockets": 96, "memory_mb": 256},
    )
    targets = [target_entry(f"s-{number}", port) for number, port in enumerate(ports)]
    topology = {"rev": 1, "all": True, "targets": targets}
    raw["known"] = {"offset": 1, "batch": [{"offset": 1, "topology": topology}]}
    del raw["bus"]
    return raw


async def record_lifecycles(results: Results, count: int) -> None:
    """Run the lifecycles with all seeds, and record their outcomes."""
    total = LifecycleCounts()
    for seed in SEEDS:
        total.add(await _record_seed(results, seed, count // len(SEEDS)))
    results.record("inside.lifecycles", total.requests)
    results.record("inside.departures", total.departures)
    results.record(
        "inside.begun_after_departure",
        total.begun_after_departure,
        at_most=MAX_BEGUN_AFTER_DEPARTURE,
    )
    results.record("inside.unanswered", total.unanswered, at_most=MAX_UNANSWERED)
    results.record("inside.answered_twice", total.answered_twice, at_most=MAX_ANSWERED_TWICE)
    results.record(
        "inside.unsafe_begun_twice", total.unsafe_begun_twice, at_most=MAX_UNSAFE_BEGUN_TWICE
    )


async def _record_seed(results: Results, seed: int, count: int) -> LifecycleCounts:
    rng = random.Random(seed)
    engines = [ErraticEngine(rng) for _ in range(ENGINE_COUNT)]
    ports = [await engine.start() for engine in engines]
    node = Node(parse_config(broker_settings(ports)))
    observer = DepartureObserver()
    async with serving(node) as port:
        with observer.attached(node):
            counts = await LifecycleRun(port, engines, seed).run(count)
        counts.begun_after_departure = len(observer.begun_after_departure)
        await _record_node(results, f"inside.seed_{seed}", node)
    return counts


async def _record_node(results: Results, name: str, node: Node) -> None:
    handovers = node.dispatcher.deadline_controls.statistics
    results.record(f"{name}.taken_back_unsent", sum(handovers.stop_counts.values()))
    results.record(
        f"{name}.half_written_at_departure", sum(handovers.partial_write_counts.values())
    )
    for _ in range(MAX_RELEASE_POLLS):
        if not node.dispatcher.requests:
            break
        await asyncio.sleep(RELEASE_POLL_S)
    results.record(
        f"{name}.requests_left_in_the_books",
        len(node.dispatcher.requests),
        at_most=MAX_REQUESTS_LEFT,
    )
