"""Links on loopback with scheduled faults: TCP proxies, and relays for datagrams.

A fault is active during a time interval, on the links whose names match a pattern, in one direction
or both:

    Fault(2.0, 5.0, "bus-*", FaultKind.STALL)               nothing passes, connections stay open
    Fault(0.0, 9.0, "*", FaultKind.DELAY, delay_s=0.2)      each chunk is delayed
    Fault(1.0, 1.0, "n3-bus", FaultKind.RESET)              open connections are reset
    Fault(0.0, 30.0, "bus-*", FaultKind.REJECT)             new connections are closed at once
    Fault(0.0, 30.0, "*", FaultKind.RATE, bytes_per_s=20_000)  shared by all these links
    Fault(3.0, 6.0, "a-b", FaultKind.STALL, Direction.FORWARD)  one direction only
"""

from __future__ import annotations

import asyncio
import fnmatch
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from ..overriding import override

HOST = "127.0.0.1"
#: More than the connections that any test opens at once.
ACCEPT_BACKLOG = 1_024
#: Small, so that data passes smoothly under a limited rate.
CHUNK_BYTES = 16_384
RELAY_CHUNK_BYTES = 65_536
STALL_POLL_S = 0.01
RELAY_POLL_S = 0.05
#: A duplicate arrives up to this much later than the original datagram.
MAX_DUPLICATE_DELAY_S = 0.3
#: Size of the length field at the start of a frame between brokers.
FRAME_LENGTH_BYTES = 4


class FaultKind(Enum):
    """What a fault does to its links."""

    DELAY = "delay"
    STALL = "stall"
    RESET = "reset"
    REJECT = "refuse"
    #: Chunks are lost at random; the first lost chunk resets its TCP connection.
    DROP = "drop"
    #: Datagrams are delivered again at random, possibly after later datagrams.
    DUPLICATE = "twice"
    RATE = "rate"


class Direction(Enum):
    """The direction of data on a link; the values are keys of the link's counts."""

    #: From the side that opened the connection.
    FORWARD = "there"
    BACKWARD = "back"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class Fault:
    """One entry of a fault schedule.

    Attributes:
        begin_s: When the fault begins, in seconds since the start of the schedule.
        end_s: When the fault ends, in seconds since the start of the schedule.
        link_pattern: Shell pattern for the names of the affected links.
        kind: What the fault does.
        direction: The direction of the affected data.
        delay_s: For ``DELAY``: the delay of each chunk.
        probability: For ``DROP`` and ``DUPLICATE``: the probability for each chunk or datagram.
        bytes_per_s: For ``RATE``: the rate limit, shared by all affected links.
    """

    begin_s: float
    end_s: float
    link_pattern: str
    kind: FaultKind
    direction: Direction = Direction.BOTH
    delay_s: float = 0.0
    probability: float = 1.0
    bytes_per_s: float = 0.0

    def is_active(self, now_s: float, link: str, direction: Direction) -> bool:
        """Return whether the fault affects this link and direction at this time."""
        if not self.begin_s <= now_s <= self.end_s:
            return False
        if not fnmatch.fnmatchcase(link, self.link_pattern):
            return False
        return direction is Direction.BOTH or self.direction in (Direction.BOTH, direction)


def partition_faults(begin_s: float, end_s: float, *groups: Iterable[str]) -> list[Fault]:
    """Return the faults of a partition, which stall all links between parties of different groups.

    The links must be named ``from-to``.
    """
    faults = []
    for number, senders in enumerate(groups):
        for other_number, receivers in enumerate(groups):
            if number != other_number:
                faults += [
                    Fault(begin_s, end_s, f"{sender}-{receiver}", FaultKind.STALL)
                    for sender in senders
                    for receiver in receivers
                ]
    return faults


class FaultSchedule:
    """A list of faults with a clock and a seeded source of random numbers.

    Attributes:
        faults: The faults; a test may add faults at any time.
        clock: The function that returns the time in seconds.
        random: The source of random numbers.
        started_s: When the schedule began, by the clock.
        capacity_free_at_s: When each rate limit has capacity again, in seconds since the start of
            the schedule.
    """

    def __init__(self, faults: Iterable[Fault], clock: Callable[[], float], seed: int = 1) -> None:
        """Create a schedule that starts now."""
        self.faults = list(faults)
        self.clock = clock
        self.random = random.Random(seed)
        self.started_s = clock()
        self.capacity_free_at_s: dict[Fault, float] = {}

    def now_s(self) -> float:
        """Return the seconds since the schedule began."""
        return self.clock() - self.started_s

    def active_fault(
        self, kind: FaultKind, link: str, direction: Direction = Direction.BOTH
    ) -> Fault | None:
        """Return the first active fault of a kind on a link."""
        now_s = self.now_s()
        for fault in self.faults:
            if fault.kind is kind and fault.is_active(now_s, link, direction):
                return fault
        return None

    def delay_s(self, link: str, direction: Direction, size_bytes: int) -> float:
        """Return the delay of a chunk in seconds, and count the chunk against a rate limit."""
        fault = self.active_fault(FaultKind.DELAY, link, direction)
        delay_s = 0.0 if fault is None else fault.delay_s
        limited = self.active_fault(FaultKind.RATE, link, direction)
        if limited is not None:
            now_s = self.now_s()
            start_s = max(now_s, self.capacity_free_at_s.get(limited, now_s))
            free_at_s = start_s + size_bytes / limited.bytes_per_s
            self.capacity_free_at_s[limited] = free_at_s
            delay_s += free_at_s - now_s
        return delay_s


class FaultyLink:
    """A TCP proxy that applies the faults of a schedule to its connections.

    Attributes:
        name: The name to which the link patterns of faults apply.
        target: Host and port to which connections are forwarded.
        counts: The ``connections`` that were forwarded or ``refused``, and bytes by direction.
        connected_at_s: When each connection was opened, in seconds since the start of the schedule.
        open_writers: Both ends of all open connections.
        port: The port on which the proxy listens.
    """

    def __init__(self, name: str, host: str, port: int, schedule: FaultSchedule) -> None:
        """Create a proxy to an address that does not listen yet."""
        self.name = name
        self.target = (host, port)
        self.schedule = schedule
        self.counts: Counter[str] = Counter()
        self.connected_at_s: list[float] = []
        self.open_writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self) -> int:
        """Start listening, schedule the resets, and return the port."""
        self.server = await asyncio.start_server(
            self._serve_client, HOST, 0, backlog=ACCEPT_BACKLOG
        )
        self.port = int(self.server.sockets[0].getsockname()[1])
        for fault in self.schedule.faults:
            is_reset = fault.kind is FaultKind.RESET
            if is_reset and fnmatch.fnmatchcase(self.name, fault.link_pattern):
                task = asyncio.create_task(self._reset_at(fault.begin_s))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        return self.port

    async def _reset_at(self, time_s: float) -> None:
        await asyncio.sleep(max(0.0, time_s - self.schedule.now_s()))
        for writer in list(self.open_writers):
            writer.transport.abort()

    async def _serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connected_at_s.append(self.schedule.now_s())
        if self.schedule.active_fault(FaultKind.REJECT, self.name):
            self._reject(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self._reject(writer)
            return
        self.counts["connections"] += 1
        ends = {writer, target_writer}
        self.open_writers |= ends
        try:
            await asyncio.gather(
                self._pass_data(reader, target_writer, Direction.FORWARD),
                self._pass_data(target_reader, writer, Direction.BACKWARD),
            )
        except (ConnectionError, asyncio.CancelledError, RuntimeError):
            pass  # uvloop raises RuntimeError on a closed transport
        finally:
            self.open_writers -= ends
            for end in (writer, target_writer):
                end.transport.abort()

    def _reject(self, writer: asyncio.StreamWriter) -> None:
        self.counts["refused"] += 1
        writer.transport.abort()

    async def _pass_data(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            while self.schedule.active_fault(FaultKind.STALL, self.name, direction):
                await asyncio.sleep(STALL_POLL_S)
            drop = self.schedule.active_fault(FaultKind.DROP, self.name, direction)
            if drop is not None and self.schedule.random.random() < drop.probability:
                raise ConnectionResetError
            delay_s = self.schedule.delay_s(self.name, direction, len(data))
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            self.counts[direction.value] += len(data)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.open_writers):
            writer.transport.abort()


class DatagramRelay(asyncio.DatagramProtocol):
    """A relay whose address the other parties use in place of the party's own.

    A datagram that party ``a`` sends to the relay of ``b`` is forwarded to ``b`` from the relay of
    ``a``, subject to the faults of the link ``a-b``. TCP connections to the relay of ``b`` are
    forwarded to ``b``; their first frame names the connecting party.

    Attributes:
        network: The relays of all parties.
        name: The party's name.
        target: Host and port on which the party itself listens.
        port: The port on which the relay listens.
    """

    def __init__(self, network: RelayNetwork, name: str, host: str, port: int) -> None:
        """Create the relay of a party that listens at this address."""
        self.network = network
        self.name = name
        self.target = (host, port)
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> int:
        """Start listening for datagrams and connections on the same port, and return it."""
        loop = asyncio.get_running_loop()
        self.server = await asyncio.start_server(self._serve_client, HOST, port)
        self.port = int(self.server.sockets[0].getsockname()[1])
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, (HOST, self.port))
        return self.port

    @override
    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram; faults do not apply if its sender is unknown."""
        sender = self.network.by_listening_address.get(addr)
        if sender is not None:
            self.network.forward(sender, self, data)
        elif self.transport is not None:
            self.transport.sendto(data, self.target)

    async def _serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_writer = None
        try:
            first = await reader.read(RELAY_CHUNK_BYTES)
            sender = self.network.sender_name(first) if first else None
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(
                self._pass_data(f"{sender}-{self.name}", first, reader, target_writer),
                self._pass_replies(f"{self.name}-{sender}", target_reader, writer),
            )
        except (OSError, RuntimeError, asyncio.CancelledError):
            pass  # one of the two connections is closed
        finally:
            for end in (writer, target_writer):
                if end is not None:
                    end.transport.abort()

    async def _pass_replies(
        self, link: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._pass_data(link, await reader.read(RELAY_CHUNK_BYTES), reader, writer)

    async def _pass_data(
        self,
        link: str,
        data: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward the first chunk and then the data of the reader; wait while the link is cut."""
        schedule = self.network.schedule
        while data:
            while self.network.is_cut(link):
                await asyncio.sleep(RELAY_POLL_S)
            delay = schedule.active_fault(FaultKind.DELAY, link)
            if delay is not None:
                await asyncio.sleep(delay.delay_s)
            writer.write(data)
            await writer.drain()
            data = await reader.read(RELAY_CHUNK_BYTES)
        writer.close()

    def stop(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()


class RelayNetwork:
    """A relay for each party.

    Attributes:
        schedule: The faults of the links, which are named ``from-to``.
        sender_address: The function that returns the sender's address from the content of a frame.
        relays: The relays, by the name of the party.
        by_listening_address: The relays, by the address on which the party itself listens.
        counts: Numbers of datagrams that were ``passed`` and ``lost``.
    """

    def __init__(self, schedule: FaultSchedule, sender_address: Callable[[bytes], str]) -> None:
        """Create a network without parties."""
        self.schedule = schedule
        self.sender_address = sender_address
        self.relays: dict[str, DatagramRelay] = {}
        self.by_listening_address: dict[tuple[str, int], DatagramRelay] = {}
        self.counts: Counter[str] = Counter()

    async def add(self, name: str, port: int, relay_port: int = 0) -> str:
        """Add a party and return the address that the other parties must use for it.

        Args:
            name: The name of the party.
            port: The port on which the party listens.
            relay_port: The port of the party's relay; 0 lets the system choose one.
        """
        relay = DatagramRelay(self, name, HOST, port)
        await relay.start(relay_port)
        self.relays[name] = relay
        self.by_listening_address[HOST, port] = relay
        return f"{HOST}:{relay.port}"

    def sender_name(self, frame: bytes) -> str:
        """Return the name of the party that a frame states as its sender."""
        address = self.sender_address(frame[FRAME_LENGTH_BYTES:])
        for name, relay in self.relays.items():
            if address == f"{HOST}:{relay.port}":
                return name
        return "stranger"

    def is_cut(self, link: str) -> bool:
        """Return whether a fault blocks all data of a link now."""
        schedule = self.schedule
        return bool(
            schedule.active_fault(FaultKind.STALL, link)
            or schedule.active_fault(FaultKind.REJECT, link)
        )

    def forward(self, sender: DatagramRelay, receiver: DatagramRelay, data: bytes) -> None:
        """Forward a datagram, or drop, delay or duplicate it according to the schedule."""
        schedule = self.schedule
        link = f"{sender.name}-{receiver.name}"
        drop = schedule.active_fault(FaultKind.DROP, link)
        if self.is_cut(link) or (drop is not None and schedule.random.random() < drop.probability):
            self.counts["lost"] += 1
            return
        duplicate = schedule.active_fault(FaultKind.DUPLICATE, link)
        delay = schedule.active_fault(FaultKind.DELAY, link)
        delay_s = 0.0 if delay is None else delay.delay_s
        delays_s = [delay_s]
        if duplicate is not None and schedule.random.random() < duplicate.probability:
            delays_s.append(delay_s + MAX_DUPLICATE_DELAY_S * schedule.random.random())
        for copy_delay_s in delays_s:
            if copy_delay_s:
                loop = asyncio.get_running_loop()
                loop.call_later(copy_delay_s, self._deliver, sender, receiver, data)
            else:
                self._deliver(sender, receiver, data)

    def _deliver(self, sender: DatagramRelay, receiver: DatagramRelay, data: bytes) -> None:
        if sender.transport is not None and not sender.transport.is_closing():
            self.counts["passed"] += 1
            sender.transport.sendto(data, receiver.target)

    def stop(self) -> None:
        """Stop all relays."""
        for relay in self.relays.values():
            relay.stop()
