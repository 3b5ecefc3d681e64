"""Randomised lifecycles of clients: they send, wait, cancel, drop their connections.

`record_lifecycles` plays them against a broker in this process, before engines with faults, so that
the first byte of every attempt is seen against the moment at which its client left.
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
#: Some are larger than what the system's buffers take.
STATEMENT_PADDING_BYTES = (0, 0, 0, 0, 40_000, 150_000)
# What a client does, by a number drawn from 0 to 1; the rest wait for their answer.
CANCELS_BELOW = 0.35
DROPS_BELOW = 0.37
MAX_CANCEL_DELAY_S = 0.3
MAX_DROP_DELAY_S = 0.1
#: After so many requests an engine stops reading for a while.
REQUESTS_PER_PAUSE = 60
PAUSE_S = (0.1, 1.5)
REQUESTS_PER_BURST = 4
BURSTS_PER_S = 250.0
IDLE_TIMEOUT_S = 4.0
LATE_ANSWERS_S = 0.3
#: An answer may be on its way when the client leaves; one that comes later than this may not.
ANSWER_IN_TRANSIT_NS = NS_PER_S
# An engine that never answers holds a request until its deadline.
MAX_RELEASE_POLLS = 400
RELEASE_POLL_S = 0.01

# The broker promises each of these exactly, so that a single case breaks the bound.
MAX_REQUESTS_LEFT = 0  # every request is released in the end
MAX_BEGUN_AFTER_DEPARTURE = 0  # work for a client that is known to have left is wasted
MAX_UNANSWERED = 0  # a client that waits is owed an answer
MAX_ANSWERED_TWICE = 0  # a second answer would be taken for that of another request
MAX_UNSAFE_BEGUN_TWICE = 0  # a non-idempotent query that runs twice changes data twice


@dataclass
class LifecycleCounts:
    """What became of the requests.

    Attributes:
        requests: Requests sent.
        unanswered: Those whose client waited in vain.
        answered_twice: Those answered twice, or long after their client had left.
        unsafe_begun_twice: Non-idempotent ones that began to run more than once.
        departures: Those whose client left before the answer.
        begun_after_departure: Attempts whose first byte left after the broker knew of that.
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
    """Clients of one address, the same for the same seed."""

    def __init__(self, port: int, engines: Sequence[ErraticEngine], seed: int) -> None:
        """Create a run that has not begun.

        Args:
            port: Where the broker accepts clients.
            engines: The engines behind it.
            seed: Seed of all that is drawn.
        """
        self._engines = engines
        self._seed = seed
        self._random = random.Random(seed)
        self._requests = RequestLog("127.0.0.1", port)
        self._unsafe_ids: set[bytes] = set()
        self._left_ns: dict[bytes, int] = {}

    async def run(self, count: int) -> LifecycleCounts:
        """Play so many requests, and return what became of them."""
        for number in range(count):
            await self._play_request(number)
            if number % REQUESTS_PER_PAUSE == REQUESTS_PER_PAUSE // 2:
                self._pause_engine()
            if number % REQUESTS_PER_BURST == 0:
                await asyncio.sleep(self._random.expovariate(BURSTS_PER_S))
        for engine in self._engines:
            engine.resume()
        await self._requests.wait_until_idle(IDLE_TIMEOUT_S)
        await asyncio.sleep(LATE_ANSWERS_S)
        counts = self._count()
        self._requests.close()
        return counts

    async def _play_request(self, number: int) -> None:
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
        if chance < CANCELS_BELOW:
            delay_s = self._random.uniform(0.0, MAX_CANCEL_DELAY_S)
            loop.call_later(delay_s, self._cancel, client, record)
        elif chance < DROPS_BELOW:
            delay_s = self._random.uniform(0.0, MAX_DROP_DELAY_S)
            loop.call_later(delay_s, self._drop, client)

    def _cancel(self, client: EmulatedClient, record: RequestRecord) -> None:
        if cancel_request(client, record):
            self._left_ns[record.request_id.encode()] = time.time_ns()

    def _drop(self, client: EmulatedClient) -> None:
        now_ns = time.time_ns()
        client.broker_draining = True  # nothing more is sent here
        for record in client.open_requests.values():
            self._left_ns[record.request_id.encode()] = now_ns
        if client.transport is not None:
            client.transport.abort()

    def _pause_engine(self) -> None:
        engine = self._random.choice(self._engines)
        engine.pause()
        pause_s = self._random.uniform(*PAUSE_S)
        asyncio.get_running_loop().call_later(pause_s, engine.resume)

    def _count(self) -> LifecycleCounts:
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
            departures=len(self._left_ns),
        )

    def _is_unanswered(self, record: RequestRecord) -> bool:
        return not record.answer_count and record.request_id.encode() not in self._left_ns

    def _is_answered_late(self, record: RequestRecord) -> bool:
        left_ns = self._left_ns.get(record.request_id.encode())
        if left_ns is None or not record.answer_count:
            return False
        return record.answered_ns > left_ns + ANSWER_IN_TRANSIT_NS


def cancel_request(client: EmulatedClient, record: RequestRecord) -> bool:
    """Tell the broker that nobody waits any more; False if the request is no longer open here."""
    streams = [stream for stream, open_ in client.open_requests.items() if open_ is record]
    if not streams or client.transport is None:
        return False
    client.transport.write(frames.frame(frames.ABANDON, streams[0]))
    del client.open_requests[streams[0]]
    return True


class DepartureObserver:
    """Sees which attempts begin although the broker knows that their client has left.

    Attributes:
        begun_after_departure: The client's request id of each of them.
    """

    def __init__(self) -> None:
        """Begin with no departures."""
        self.begun_after_departure: list[bytes] = []
        self._departed: set[bytes] = set()

    @contextmanager
    def attached(self, node: Node) -> Iterator[None]:
        """Watch a node, for as long as the context lasts."""
        cancellations: Any = node.dispatcher.cancellations
        writer_class: Any = EngineWriter
        abandon = cancellations.abandon
        write_started = writer_class.frame_started

        def observe_departure(request: ActiveRequest) -> None:
            self._departed.add(request.client_request_id)
            abandon(request)

        def observe_write(writer: EngineWriter, about: object) -> None:
            self._write_started(about)
            write_started(writer, about)

        cancellations.abandon = observe_departure
        writer_class.frame_started = observe_write
        try:
            yield
        finally:
            writer_class.frame_started = write_started

    def _write_started(self, about: object) -> None:
        if not isinstance(about, Attempt):
            return  # a command, which is for no request
        request_id = about.request.client_request_id
        if request_id in self._departed:
            self.begun_after_departure.append(request_id)


def broker_settings(ports: Sequence[int]) -> dict[str, Any]:
    """Return the configuration of a broker that knows its engines from the start alone."""
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
    """Play lifecycles with all seeds, and record what became of them."""
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
    source = random.Random(seed)
    engines = [ErraticEngine(source) for _ in range(ENGINE_COUNT)]
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
