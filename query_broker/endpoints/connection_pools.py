"""The pools of connections to the engines, one for each uid: bounded, opened as needed, closed when
idle.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from functools import partial

from ..deadlines.handover_checks import HandOver
from ..decisions.facade import AttemptResult, EndpointState
from ..discovery.event_codec import ListedEndpoint
from ..dispatch.requests import Attempt
from ..protocols.engine_connection import EngineConnection, Owner

# ns without a word while answers are owed: then a new connection shows what holds
SILENT = 1_000_000_000
GONE_SILENT = 3_000_000_000  # ns without a word from an engine that the list says has ended: it has
# of the connections may be attempts' own; the rest is for what must have a new one
OWN_PART = 3 / 4
AFTER = 30_000_000_000  # ns after an attempt's time is up, its answer is not expected any more


class ConnectionPool:
    """The connections to one engine. ``waiting`` holds the attempts that wait for one to come up;
    none of them has left for the engine.
    """

    def __init__(self, pools: ConnectionPools, number: int, target: ListedEndpoint) -> None:
        self.pools, self.number, self.target = pools, number, target
        self.connections: list[EngineConnection] = []
        self.waiting: list[Attempt] = []
        self.opening: asyncio.Task[None] | None = None
        self.probes_waiting: list[bytes] = []

    def _usable(self, now: int) -> list[EngineConnection]:
        """Danger: an engine that is cut off says nothing and keeps its connections open: where it
        owes answers and has been silent, nothing more goes there until a new connection has come
        up.
        """
        live = [c for c in self.connections if not c.retired]
        owed = [a.dispatched_ns for c in live for a in c.in_flight.values()]
        if owed and now - max(min(owed), *(c.heard for c in live)) > SILENT:
            return []
        return live

    def send(self, attempt: Attempt, now: int, dial: bool = True) -> None:
        """Danger: a spoilt answer or a reset ends its connection with all that is open there; so
        each attempt gets one of its own while this engine's part of the descriptors lasts, where
        handshakes are cheap. Answers come under the request's id, also twice, and pages late:
        nothing else under this id, of this request or of one that comes again, uses a connection
        that carried it.
        """
        request = attempt.request
        best, least, stuck, full = None, self.pools.streams, None, False
        for c in self._usable(now):  # on every request's path: one pass, nothing built
            open = len(c.in_flight) + len(c.cancelled) if c.cancelled else len(c.in_flight)
            if open >= self.pools.streams or request.client_request_id in c.carried:
                continue
            if c.jammed:
                # Backpressure: a connection whose socket takes no more gets nothing while there is
                # another.
                full = full or c.write_queue.full()
                stuck = stuck if c.write_queue.full() else c
            elif open < least:
                best, least = c, open
                if not open:
                    break
        if best is not None and best.ended_by_engine():
            # Danger: a send that meets the engine's close may have run, for all we know.
            best.retired = True
            return self.send(attempt, now, dial)
        best = best or stuck
        if (
            best is None
            and full
            and not (len(self.connections) < self.pools.share(self) and self.pools.room(self))
        ):
            # nothing more fits before this engine's sockets
            self.pools.unsent(attempt, AttemptResult.NOT_SENT)
            return
        if best is None and not dial:
            self.pools.unsent(attempt, AttemptResult.NOT_SENT)
        elif best is None or (
            dial
            and best.in_flight
            and self.pools.own
            and len(self.connections) < self.pools.share(self)
            and self.pools.room(self)
        ):
            self.waiting.append(attempt)
            self._open()
        else:
            self._put(best, attempt, now)

    def probe(self, tag: bytes, now: int) -> None:
        usable = self._usable(now)
        if usable:
            min(usable, key=lambda c: len(c.in_flight)).probe(tag)
        else:
            self.probes_waiting.append(tag)
            self._open()

    def forget_probe(self, tag: bytes) -> None:
        """Danger: a probe whose answer never comes would keep its connection from ever being
        idle.
        """
        for connection in self.connections:
            connection.probes.discard(tag)
        if tag in self.probes_waiting:
            self.probes_waiting.remove(tag)

    def _put(self, connection: EngineConnection, attempt: Attempt, now: int) -> None:
        attempt.connection, attempt.assigned_ns = connection, now
        connection.carry(attempt)
        connection.do(attempt, now)

    def _open(self) -> None:
        if self.opening is None:
            self.opening = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        why, result = "", AttemptResult.CONNECT_FAILED
        connection: EngineConnection | None = None
        if self.pools.turn is not None:
            await asyncio.sleep(self.pools.turn(self.number) / 1e9)
        address, began = (self.target.host, self.target.port), self.pools.owner.now()
        try:
            if not self.pools.make_room(self):
                # Danger: that is no fault of the engine's; taken for one, it excludes the busiest
                # of them.
                result = AttemptResult.NOT_SENT
                raise OSError(errno.EMFILE, "no descriptor is left for engines")
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(self.pools.connect_timeout / 1e9):
                _, connection = await loop.create_connection(
                    partial(EngineConnection, self.pools.owner, self.number), *address
                )
        except TimeoutError:
            why = "no connection in time"
        except OSError as error:
            why = str(error)
        except asyncio.CancelledError:
            why = "given up"
        self.opening = None
        waiting, self.waiting = self.waiting, []
        probes, self.probes_waiting = self.probes_waiting, []
        now = self.pools.owner.now()
        if connection is not None and connection.closed:
            connection, why = None, "lost as it came up"
        if connection is not None and not self._still_at(address):
            # Danger: another engine may listen there by now; nothing meant for this one may reach
            # it.
            connection.close()
            connection, why = None, "it has moved meanwhile"
        if connection is not None:
            self.connections.append(connection)
            for tag in probes:
                connection.probe(tag)
            for attempt in waiting:
                if self.pools.may_go(attempt, HandOver.CONNECTION):
                    self.send(attempt, now)
            return
        self.pools.log(
            "engine", f"{self.target.uid} at {self.target.host}:{self.target.port}: {why}"
        )
        if any(c.heard >= began for c in self._usable(now)):
            # Danger: one connect that comes up late is no engine that is out: it has spoken
            # meanwhile.
            for tag in probes:
                self.probe(tag, now)
            for attempt in waiting:
                if self.pools.may_go(attempt, HandOver.CONNECTION):
                    self.send(attempt, now, dial=False)
            return
        for connection in self.connections if result is AttemptResult.CONNECT_FAILED else ():
            if connection.in_flight and now - connection.heard > SILENT:
                connection.retired = True
        for tag in probes:
            self.pools.owner.probed(tag, result, "")
        for attempt in waiting:  # nothing has left for the engine: it never ran
            self.pools.unsent(attempt, result)

    def moved(self, target: ListedEndpoint) -> None:
        """News of the engine: at a new address, or in a new life, old connections take nothing
        more.
        """
        before, self.target = self.target, target
        if not self._still_at((before.host, before.port)) or target.started_ns > before.started_ns:
            for connection in self.connections:
                connection.retired = True

    def take_back(self) -> None:
        """What waits for a connection has not left for the engine: it never ran."""
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            self.pools.unsent(attempt, AttemptResult.NOT_SENT)

    def renew(self) -> None:
        """Danger: the engine has restarted meanwhile, perhaps with nothing said on the old
        connections.
        """
        for connection in self.connections:
            connection.retired = True

    def _still_at(self, address: tuple[str, int]) -> bool:
        return (
            self.target.host,
            self.target.port,
        ) == address and self.target.state is not EndpointState.REMOVED

    def sweep(self, now: int) -> None:
        for connection in list(self.connections):
            connection.check(now)
            if connection.quiet() and (
                connection.retired or now - max(connection.used, connection.heard) > self.pools.idle
            ):
                connection.close()
            elif any(now > a.deadline_ns + AFTER for a in connection.in_flight.values()):
                # Danger: an answer that never comes would hold its stream for good. Once nothing
                # that is still expected is out on it, the connection ends: before, that would give
                # it up.
                connection.retired = True
                if all(now > a.deadline_ns + AFTER for a in connection.in_flight.values()):
                    connection.close()
            elif (
                self.target.state is EndpointState.REMOVED and now - connection.heard > GONE_SILENT
            ):
                # Danger: a machine that vanished resets nothing: what is open there would be held
                # until its time is up, although no answer can come any more. It may have run.
                connection.close()


class ConnectionPools:
    """All pools, and the count of descriptors that they may hold together."""

    def __init__(
        self,
        owner: Owner,
        log: Callable[[str, str], None],
        *,
        streams: int,
        connect_timeout: int,
        conn_idle: int,
        unsent: Callable[[Attempt, AttemptResult], None],
        may_go: Callable[[Attempt, HandOver], bool],
    ) -> None:
        self.owner, self.log, self.unsent, self.may_go = owner, log, unsent, may_go
        self.most = 0
        self.own = True  # attempts get connections of their own while there is room
        # ns that a new connection to this engine has to wait
        self.turn: Callable[[int], int] | None = None
        self.retune(streams, connect_timeout, conn_idle)
        self.by_number: dict[int, ConnectionPool] = {}

    def retune(self, streams: int, connect_timeout: int, conn_idle: int) -> None:
        self.streams, self.connect_timeout = streams, connect_timeout
        # Danger: a send that meets the engine's idle close is lost: we close long before.
        self.idle = conn_idle // 2

    def limit(self, most: int) -> None:
        """How many connections there may be from now on; idle ones past that end."""
        self.most = most
        # Danger: a closed connection tells its loss later: a loop that waits for it stands still
        # for good.
        for connection in self._idle()[: max(0, self._held() - most)]:
            connection.close()

    def get(self, number: int) -> ConnectionPool | None:
        return self.by_number.get(number)

    def learn(self, number: int, target: ListedEndpoint) -> None:
        if (pool := self.by_number.get(number)) is not None:
            pool.moved(target)
        else:
            self.by_number[number] = ConnectionPool(self, number, target)

    def share(self, pool: ConnectionPool) -> int:
        """Of the connections, for each engine."""
        live = sum(p.target.state is not EndpointState.REMOVED for p in self.by_number.values())
        return max(1, int(self.most * OWN_PART) // max(1, live))

    def _held(self) -> int:
        return sum(
            sum(not c.ending for c in p.connections) + (p.opening is not None)
            for p in self.by_number.values()
        )

    def room(self, pool: ConnectionPool) -> bool:
        """For one more that is an attempt's own."""
        return self._held() < self.most * OWN_PART

    def make_room(self, pool: ConnectionPool) -> bool:
        """Danger: descriptors run out and clients can't come in: engines take no more than their
        part.
        """
        if self._held() <= self.most:  # the one that is opening counts already
            return True
        for connection in (idle := self._idle())[:1]:
            connection.close()
        return bool(idle)

    def _idle(self) -> list[EngineConnection]:
        return [
            connection
            for pool in self.by_number.values()
            for connection in pool.connections
            if connection.quiet() and not connection.ending
        ]

    def lost(self, connection: EngineConnection) -> None:
        pool = self.by_number.get(connection.endpoint)
        if pool is not None and connection in pool.connections:
            pool.connections.remove(connection)

    def sweep(self, now: int) -> None:
        for number, pool in list(self.by_number.items()):
            pool.sweep(now)
            if (
                pool.target.state is EndpointState.REMOVED
                and not pool.connections
                and pool.opening is None
            ):
                del self.by_number[number]

    def close(self) -> None:
        for pool in self.by_number.values():
            if pool.opening is not None:
                pool.opening.cancel()
            for connection in list(pool.connections):
                connection.close()
