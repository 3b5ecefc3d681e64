"""Links on loopback that a fault schedule disturbs: TCP proxies, and a relay of datagrams.

A fault is active from one time to another, on the links whose name a pattern matches, in one
direction or both:

    Fault(2.0, 5.0, "bus-*", FaultKind.STALL)               nothing passes, connections stay open
    Fault(0.0, 9.0, "*", FaultKind.DELAY, delay_s=0.2)      each chunk comes so much later
    Fault(1.0, 1.0, "n3-bus", FaultKind.RESET)              open connections are reset
    Fault(0.0, 30.0, "bus-*", FaultKind.REJECT)             new connections are closed at once
    Fault(0.0, 30.0, "*", FaultKind.RATE, bytes_per_s=20_000)  of all these links together
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

HOST = "127.0.0.1"
#: More clients than any test connects at once.
ACCEPT_BACKLOG = 1_024
#: Small, so that a limited rate is smooth.
CHUNK_BYTES = 16_384
RELAY_CHUNK_BYTES = 65_536
STALL_POLL_S = 0.01
RELAY_POLL_S = 0.05
#: A duplicate comes up to this much later than the datagram itself.
MAX_DUPLICATE_DELAY_S = 0.3
#: The length of a frame between brokers, before its content.
FRAME_LENGTH_BYTES = 4


class FaultKind(Enum):
    """What a fault does to its links."""

    DELAY = "delay"
    STALL = "stall"
    RESET = "reset"
    REJECT = "refuse"
    #: Some chunks never arrive: the connection is reset with the first of them.
    DROP = "drop"
    #: Some datagrams arrive once more, after those that follow.
    DUPLICATE = "twice"
    RATE = "rate"


class Direction(Enum):
    """The direction of data on a link; the values are keys of its counts."""

    #: From the party that connects.
    FORWARD = "there"
    BACKWARD = "back"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class Fault:
    """One entry of a fault schedule.

    Attributes:
        begin_s: When it begins, in seconds since the start of the schedule.
        end_s: When it ends.
        link_pattern: Shell pattern of the names of its links.
        kind: What it does.
        direction: Which data it concerns.
        delay_s: Of ``DELAY``: the delay of each chunk.
        probability: Of ``DROP`` and ``DUPLICATE``: how likely each chunk is hit.
        bytes_per_s: Of ``RATE``: the rate of all its links together.
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
        """Return whether it concerns this link and direction now."""
        if not self.begin_s <= now_s <= self.end_s:
            return False
        if not fnmatch.fnmatchcase(link, self.link_pattern):
            return False
        return direction is Direction.BOTH or self.direction in (Direction.BOTH, direction)


def partition_faults(begin_s: float, end_s: float, *groups: Iterable[str]) -> list[Fault]:
    """Return the faults of a partition: nothing passes between parties of two groups.

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
    """Faults, their clock, and random numbers from a seed.

    Attributes:
        faults: The faults; a test may add to them at any time.
        clock: Returns seconds.
        random: The source of random numbers.
        started_s: When the schedule began, by the clock.
        capacity_free_at_s: When each limited rate has capacity again, by the schedule.
    """

    def __init__(self, faults: Iterable[Fault], clock: Callable[[], float], seed: int = 1) -> None:
        """Begin a schedule now."""
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
        """Return the seconds until a chunk may pass, and account it to a limited rate."""
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
    """A TCP proxy.

    Attributes:
        name: The name that the patterns of faults match.
        target: Host and port that it connects to.
        counts: ``connections`` passed on and ``refused``, and bytes by direction.
        connected_at_s: When each connection came, by the schedule.
        open_writers: Both ends of all open connections.
        port: Where it listens.
    """

    def __init__(self, name: str, host: str, port: int, schedule: FaultSchedule) -> None:
        """Create a proxy to an address; it does not listen yet."""
        self.name = name
        self.target = (host, port)
        self.schedule = schedule
        self.counts: Counter[str] = Counter()
        self.connected_at_s: list[float] = []
        self.open_writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self) -> int:
        """Listen, schedule the resets, and return the port."""
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
            pass  # RuntimeError is what uvloop raises on a transport that is closed
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
        """Stop listening, and reset what is open."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.open_writers):
            writer.transport.abort()


class DatagramRelay(asyncio.DatagramProtocol):
    """The address of one party, as the others know it.

    A datagram that party ``a`` sends to the relay of ``b`` is forwarded to ``b`` from the relay of
    ``a``, unless a fault of the link ``a-b`` prevents it. TCP connections to the relay of ``b`` are
    forwarded to its port; the first frame names the party that connects.

    Attributes:
        network: The relays of all parties.
        name: The party's name.
        target: Host and port on which the party itself listens.
        port: Where the relay listens.
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
        """Listen for datagrams and connections on one port, and return it."""
        loop = asyncio.get_running_loop()
        self.server = await asyncio.start_server(self._serve_client, HOST, port)
        self.port = int(self.server.sockets[0].getsockname()[1])
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, (HOST, self.port))
        return self.port

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram; one of an unknown sender is not subject to faults."""
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
                self._pass_answers(f"{self.name}-{sender}", target_reader, writer),
            )
        except (OSError, RuntimeError, asyncio.CancelledError):
            pass  # one of the ends is closed
        finally:
            for end in (writer, target_writer):
                if end is not None:
                    end.transport.abort()

    async def _pass_answers(
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
        """Pass data on, the first chunk first; it waits while the link is cut."""
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
        sender_address: Returns the address that a frame's content names as its sender.
        relays: The relays by name.
        by_listening_address: The relays by the address at which the party itself listens.
        counts: Datagrams ``passed`` and ``lost``.
    """

    def __init__(self, schedule: FaultSchedule, sender_address: Callable[[bytes], str]) -> None:
        """Create a network without parties."""
        self.schedule = schedule
        self.sender_address = sender_address
        self.relays: dict[str, DatagramRelay] = {}
        self.by_listening_address: dict[tuple[str, int], DatagramRelay] = {}
        self.counts: Counter[str] = Counter()

    async def add(self, name: str, port: int, relay_port: int = 0) -> str:
        """Add a party, and return the address by which the others are to know it.

        Args:
            name: Its name.
            port: Where it listens.
            relay_port: The port of its relay, if it had one before.
        """
        relay = DatagramRelay(self, name, HOST, port)
        await relay.start(relay_port)
        self.relays[name] = relay
        self.by_listening_address[HOST, port] = relay
        return f"{HOST}:{relay.port}"

    def sender_name(self, frame: bytes) -> str:
        """Return the name of the party whose address a frame names as its sender."""
        address = self.sender_address(frame[FRAME_LENGTH_BYTES:])
        for name, relay in self.relays.items():
            if address == f"{HOST}:{relay.port}":
                return name
        return "stranger"

    def is_cut(self, link: str) -> bool:
        """Return whether nothing passes a link now."""
        schedule = self.schedule
        return bool(
            schedule.active_fault(FaultKind.STALL, link)
            or schedule.active_fault(FaultKind.REJECT, link)
        )

    def forward(self, sender: DatagramRelay, receiver: DatagramRelay, data: bytes) -> None:
        """Forward a datagram, lose it, delay it, or deliver it twice, as the schedule says."""
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
