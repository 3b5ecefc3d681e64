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

class FaultKind(Enum):
    DELAY = "delay"
    STALL = "stall"
    RESET = "reset"
    REJECT = "refuse"
    DROP = "drop"  # a share of chunks never arrive: the connection is reset with the first of them
    DUPLICATE = "twice"  # a share of datagrams comes once more, later than those that follow
    RATE = "rate"


class Direction(Enum):
    FORWARD = "there"  # from the one that connects
    BACKWARD = "back"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class Fault:
    """One entry of a fault schedule.

    begin_s: float
    end_s: float
    link_pattern: str
    kind: FaultKind
    direction: Direction = Direction.BOTH
    delay_s: float = 0.0
    probability: float = 1.0
    bytes_per_s: float = 0.0

    def is_active(self, now: float, link: str, way: Direction) -> bool:
        return (
            self.begin_s <= now <= self.end_s
            and fnmatch.fnmatchcase(link, self.link_pattern)
            and (way is Direction.BOTH or self.direction in (Direction.BOTH, way))
        )


def partition_faults(begin: float, end: float, *groups: Iterable[str]) -> list[Fault]:
    """Links are named `from-to`: nothing passes between parties of two groups."""
    return [
        Fault(begin, end, f"{a}-{b}", FaultKind.STALL)
        for i, one in enumerate(groups)
        for j, other in enumerate(groups)
        if i != j
        for a in one
        for b in other
    ]


class FaultSchedule:
    """The faults, their clock, and a draw from a seed."""

    def __init__(self, faults: Iterable[Fault], clock: Callable[[], float], seed: int = 1) -> None:
        self.faults, self.clock, self.random = list(faults), clock, random.Random(seed)
        self.started_s = clock()
        self.capacity_free_at_s: dict[Fault, float] = {}  # when a limited rate has room again

    def now_s(self) -> float:
        return self.clock() - self.started_s

    def active_fault(
        self, kind: FaultKind, link: str, way: Direction = Direction.BOTH
    ) -> Fault | None:
        now = self.now_s()
        return next(
            (f for f in self.faults if f.kind is kind and f.is_active(now, link, way)), None
        )

    def delay_s(self, link: str, way: Direction, size: int) -> float:
        """Seconds until a chunk may go on."""
        fault = self.active_fault(FaultKind.DELAY, link, way)
        wait = 0.0 if fault is None else fault.delay_s
        if (limited := self.active_fault(FaultKind.RATE, link, way)) is not None:
            now = self.now_s()
            start = max(now, self.capacity_free_at_s.get(limited, now))
            self.capacity_free_at_s[limited] = start + size / limited.bytes_per_s
            wait += self.capacity_free_at_s[limited] - now
        return wait


class FaultyLink:
    """One proxy. ``counts``: connections let in and refused, bytes each way; ``came``: when each
    came.
    """

    def __init__(self, name: str, host: str, port: int, script: FaultSchedule) -> None:
        self.name, self.target, self.schedule = name, (host, port), script
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
            if fault.kind is FaultKind.RESET and fnmatch.fnmatchcase(self.name, fault.link_pattern):
                self._keep(asyncio.create_task(self._reset_at(fault.begin_s)))
        return self.port

    def _keep(self, task: asyncio.Task[None]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _reset_at(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self.schedule.now_s()))
        for writer in list(self.open_writers):
            writer.transport.abort()

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connected_at_s.append(self.schedule.now_s())
        if self.schedule.active_fault(FaultKind.REJECT, self.name):
            self.counts["refused"] += 1
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self._reject(writer)
            return
        self.counts["connections"] += 1
        self.open_writers |= {writer, other}
        try:
            await asyncio.gather(
                self._pass(reader, other, Direction.FORWARD),
                self._pass(other_reader, writer, Direction.BACKWARD),
            )
        except (ConnectionError, asyncio.CancelledError, RuntimeError):
            pass  # RuntimeError is what uvloop raises on a transport that is closed
        finally:
            self.open_writers -= {writer, other}
            for end in (writer, other):
                end.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Direction
    ) -> None:
        while data := await reader.read(16_384):
            while self.schedule.active_fault(FaultKind.STALL, self.name, way):
                await asyncio.sleep(0.01)
            fault = self.schedule.active_fault(FaultKind.DROP, self.name, way)
            if fault is not None and self.schedule.random.random() < fault.probability:
                raise ConnectionResetError
            if (wait := self.schedule.delay_s(self.name, way, len(data))) > 0:
                await asyncio.sleep(wait)
            self.counts[way.value] += len(data)
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
    """Datagrams among parties, each known to the others by a relay's address: what is sent there by
    party a goes on to party b as from a's relay, if the script lets link `a-b` pass it. Over TCP
    the same address leads to b's port; who connects shows in its first frame, by ``sender``.
    """

    def __init__(self, net: RelayNetwork, name: str, host: str, port: int) -> None:
        self.network, self.name, self.target = net, name, (host, port)
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
        sender = self.network.by_listening_address.get(addr)
        if sender is None:
            if self.transport is not None:  # a stranger: passed on as it is
                self.transport.sendto(data, self.target)
            return
        self.network.forward(sender, self, data)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Whole chunks: where the link is cut in one way, what goes that way waits until it is
        not.
        """
        script, other = self.network.schedule, None
        try:
            first = await reader.read(65_536)
            sender = self.network.sender_name(first) if first else None
            there, back = f"{sender}-{self.name}", f"{self.name}-{sender}"
            other_reader, other = await asyncio.open_connection(*self.target)

            async def carry(
                link: str, data: bytes, source: asyncio.StreamReader, sink: asyncio.StreamWriter
            ) -> None:
                while data:
                    while script.active_fault(FaultKind.STALL, link) or script.active_fault(
                        FaultKind.REJECT, link
                    ):
                        await asyncio.sleep(0.05)
                    if (delay := script.active_fault(FaultKind.DELAY, link)) is not None:
                        await asyncio.sleep(delay.delay_s)
                    sink.write(data)
                    await sink.drain()
                    data = await source.read(65_536)
                sink.close()

            async def answers(sink: asyncio.StreamWriter) -> None:
                await carry(back, await other_reader.read(65_536), other_reader, sink)

            await asyncio.gather(carry(there, first, reader, other), answers(writer))
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
    """A relay for each party. ``counts``: datagrams passed and lost."""

    def __init__(self, script: FaultSchedule, sender_address: Callable[[bytes], str]) -> None:
        self.schedule, self.sender_address = script, sender_address
        self.relays: dict[str, DatagramRelay] = {}
        self.by_listening_address: dict[tuple[str, int], DatagramRelay] = {}
        self.counts: Counter[str] = Counter()

    async def add(self, name: str, port: int, at: int = 0) -> str:
        """The address by which the party that listens on this port is known; ``at``: one that it
        had before.
        """
        relay = DatagramRelay(self, name, "127.0.0.1", port)
        await relay.start(at)
        self.relays[name], self.by_listening_address["127.0.0.1", port] = relay, relay
        return f"127.0.0.1:{relay.port}"

    def sender_name(self, frame: bytes) -> str:
        """Whose frame it is, by the address that it names."""
        address = self.sender_address(frame[4:])
        return next(
            (n for n, r in self.relays.items() if address == f"127.0.0.1:{r.port}"), "stranger"
        )

    def forward(self, sender: DatagramRelay, receiver: DatagramRelay, data: bytes) -> None:
        link, script = f"{sender.name}-{receiver.name}", self.schedule
        lost = script.active_fault(FaultKind.DROP, link)
        if (
            script.active_fault(FaultKind.STALL, link)
            or script.active_fault(FaultKind.REJECT, link)
            or (lost is not None and script.random.random() < lost.probability)
        ):
            self.counts["lost"] += 1
            return
        twice = script.active_fault(FaultKind.DUPLICATE, link)
        delay = script.active_fault(FaultKind.DELAY, link)
        wait = 0.0 if delay is None else delay.delay_s
        times = [wait]
        if twice is not None and script.random.random() < twice.probability:
            times.append(wait + 0.3 * script.random.random())
        for later in times:
            if later:
                asyncio.get_running_loop().call_later(later, self._pass, sender, receiver, data)
            else:
                self._deliver(sender, receiver, data)

    def _pass(self, sender: DatagramRelay, receiver: DatagramRelay, data: bytes) -> None:
        if sender.transport is not None and not sender.transport.is_closing():
            self.counts["passed"] += 1
            sender.transport.sendto(data, receiver.target)

    def stop(self) -> None:
        """Stop all relays."""
        for relay in self.relays.values():
            relay.stop()
