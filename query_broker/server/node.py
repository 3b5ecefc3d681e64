"""Start: the listening socket, the event bus and the tick; the front that admits clients;
SIGHUP.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import resource
import signal
import socket
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
from typing import Any

import uvloop

from ..config.reading import Config, ConfigError, waiting_for_restart
from ..config.reading import reload as read_again
from ..decisions.facade import CoProcessLoad, OutstandingWork
from ..discovery.watch_client import WatchClient
from ..dispatch.dispatcher import Dispatcher
from ..protocols.client_connection import ClientConnection
from ..timer_wheel import Clock
from . import signals
from .admin_api import AdminApi
from .graceful_shutdown import GracefulShutdown
from .log import Log
from .peer_process import PeerProcesses

BACKLOG = 1_024
SWEEP = 0.25  # s between looks at idle connections and slow readers
LAGGED = 100_000_000  # ns; a tick so late is logged
MS = 1_000_000


def raise_descriptors(wanted: int) -> int:
    """Danger: a limit of the system below the one we are told of is met as EMFILE at some busy
    moment. The soft one is raised, the hard one is what we then plan with.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY:
        wanted = min(hard, wanted)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return wanted


def bound(key: str, host: str, port: int) -> socket.socket:
    """Danger: after a kill the old connections linger; the address must be had at once all the
    same.
    """
    listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise ConfigError(f"{key}: {host}:{port}: {error}") from None
    return listener


def inherited(number: int) -> socket.socket:
    """The clients' listening socket that the platform holds. Danger: to bind anew fails, since its
    address is taken; to shut it down would end it for every process that has it: only our copy is
    ever closed.
    """
    try:
        listener = socket.socket(fileno=number)
    except OSError as error:
        raise ConfigError(f"PROXY_ACCEPT_FD: descriptor {number}: {error}") from None
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ConfigError(f"PROXY_ACCEPT_FD: descriptor {number} is no listening socket")
    return listener


class Node:
    """One running broker: the front to clients, the middle, the bus."""

    longest_rest = SWEEP  # s between two ticks where nothing falls due

    def __init__(self, config: Config, environ: Mapping[str, str] = os.environ) -> None:
        self.told, self.environ = config, environ
        self.config = config = replace(config, sockets=raise_descriptors(config.sockets))
        self.log = Log(config.name)
        self.clock = Clock()
        self.dispatcher = self._broker()
        # Danger: a flood of clients takes every descriptor, and none is left to reach an engine.
        self.most_clients = self.dispatcher.most_clients
        self.clients: set[ClientConnection] = set()
        self.partial = 0  # bytes of frames that are not whole yet
        self.server: asyncio.Server | None = None
        self.admin_api = AdminApi(self)
        # Without an inherited socket no second process can listen: nobody is beside us.
        self.peer_processes = (
            None if config.accept_fd is None else PeerProcesses(self, config.folder)
        )
        self.watch_client: WatchClient | None = None
        self.endpoint_list_known = False
        self.shutdown = GracefulShutdown(self)
        self.closing_announced = False  # the type 64 has gone out: not ready any more
        self.next_tick: asyncio.TimerHandle | None = None  # none while one is under way
        self.stopped = asyncio.Event()
        self.ticked = self.swept = self.clock.now()

    # What a node with rooms of its own makes otherwise, and tells the other processes:
    # `query_broker.cells`.

    def _broker(self) -> Dispatcher:
        return Dispatcher(self.config, self.clock, self.log)

    def _client(self) -> ClientConnection:
        return ClientConnection(self)

    def _take(self, read: Config) -> None:
        """Other settings: what can be turned down is turned down before anything is changed."""
        self.dispatcher.apply_settings(read)

    def tells(self) -> dict[str, Any]:
        return {}

    async def _open(self) -> None:
        """Sockets of other subsystems."""

    # --- the front ---

    def ready(self) -> bool:
        return self.endpoint_list_known and not self.closing_announced

    def came(self, connection: ClientConnection) -> bool:
        if not self._has_place():
            self.log("client", f"more than {self.most_clients} connections: one is refused")
            return False
        self.clients.add(connection)
        if self.closing_announced:
            connection.leave_off()
        return True

    def _has_place(self) -> bool:
        return len(self.clients) < self.most_clients or self._end_one(
            c for c in self.clients if c.idle()
        )

    def _end_one(self, free: Iterable[ClientConnection]) -> bool:
        """Danger: connections that say nothing, or stay after one request, would keep usual clients
        out. The place goes to the newcomer: first of those that are ending, then of the silent,
        then of the idle.
        """
        victim = min(free, key=lambda c: (not c.broken, c.spoken, c.used), default=None)
        if victim is None:
            return False
        self._discard(victim)
        victim.drop() if victim.broken else victim.let_go()
        return True

    def _discard(self, connection: ClientConnection) -> None:
        self.clients.discard(connection)

    def share(self, others: Collection[dict[str, Any]]) -> None:
        """Other processes of this broker are beside us, or have ended: its limits hold for all
        together.
        """
        out: dict[int, OutstandingWork] = {}
        for other in others:
            for number, theirs in other["out"].items():
                so_far = out.get(number, OutstandingWork(0, 0, 0))
                out[number] = OutstandingWork(*(a + b for a, b in zip(so_far, theirs, strict=True)))
        self.dispatcher.beside(CoProcessLoad(out, 1 + sum(other["accepting"] for other in others)))
        self.dispatcher.divide(1 + len(others), sum(other["clients"] for other in others))
        self.most_clients = self.dispatcher.most_clients

    def went(self, connection: ClientConnection) -> None:
        self._discard(connection)

    def idle(self) -> bool:
        """Nothing is owed to any client and every answer has left."""
        return all(c.idle() for c in self.clients)

    # --- run ---

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._loop_fault)
        for event in self.config.known:
            self.dispatcher.endpoint_list_changed(event)
            self.endpoint_list_known = True
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.shutdown.begin)
        # Danger: without a handler, the signal that asks for the new configuration ends the
        # process.
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.peer_processes is not None:
            self.peer_processes.start()
            self.peer_processes.look()
        await self._open()
        if self.config.bus is not None:
            self._follow(self.config.bus)
        if self.config.operator is not None:
            await self.admin_api.listen(bound("operator", *self.config.operator))
        self.server = await loop.create_server(self._client, sock=self._listen(), backlog=BACKLOG)
        # What lives as long as the process is no work for the collector: it would stop the loop for
        # it.
        gc.collect()
        gc.freeze()
        for remark in self.config.remarks():
            self.log("config", remark)
        self.log(
            "start",
            f"listening on {self.config.host}:{self.config.port}; {self.config.cores:g} cores, "
            f"{self.config.memory_mb} MB, {self.config.sockets} descriptors",
        )
        self.ticked = self.swept = self.clock.now()
        self.dispatcher.wheel.sooner = self._wake
        self._tick(loop)
        if signals.came_early():
            self.reload()
        await self.stopped.wait()
        self.log("stop", "done")

    def _listen(self) -> socket.socket:
        if self.config.accept_fd is None:
            return bound("listen", self.config.host, self.config.port)
        return inherited(self.config.accept_fd)

    def _follow(self, bus: tuple[str, int]) -> None:
        if self.watch_client is None:
            self.watch_client = self._feed(bus)
            self.watch_client.start()
        else:
            self.watch_client.move(bus)

    def _feed(self, bus: tuple[str, int]) -> WatchClient:
        return WatchClient(
            bus,
            self.config.known_offset,
            self._news,
            self.clock.now,
            self.log,
            random.Random(self.config.seed).random,
        )

    def reload(self) -> None:
        """SIGHUP: the file is read and checked wholly, then taken in one step or not at all."""
        if self.shutdown.begun_at:
            self.log("reload", "SIGHUP: not during the drain")
            return
        try:
            read = read_again(self.config, self.environ)
            self._take(read)
        except ConfigError as error:
            self._turned_down(str(error))
            return
        except Exception as error:  # danger: no file, however odd, may end a process that serves
            self._turned_down(f"{type(error).__name__}: {error}")
            return
        self.dispatcher.metrics_counts.reloads_taken += 1
        for remark in read.remarks():
            self.log("config", remark)
        fixed = waiting_for_restart(self.told, read)
        self.config = self.dispatcher.config
        self.log(
            "reload", "done" + (f"; with the next start only: {', '.join(fixed)}" if fixed else "")
        )
        if read.bus is not None:
            self._follow(read.bus)

    def _turned_down(self, why: str) -> None:
        self.dispatcher.metrics_counts.reloads_turned_down += 1
        self.log("reload", f"the configuration stays as it was: {why}")

    def _news(self, event: Any) -> None:
        first, self.endpoint_list_known = not self.endpoint_list_known, True
        self.dispatcher.endpoint_list_changed(event)
        if first and self.peer_processes is not None:
            self.peer_processes.tell()

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        now = self.clock.now()
        tick = self.config.settings.tick_ns
        if now - self.ticked > tick + LAGGED:
            self.log("lag", f"the loop stood still for {(now - self.ticked) / 1e6:.0f} ms")
        self.next_tick = None
        try:
            self.dispatcher.tick()
            if self.watch_client is not None:
                self.watch_client.check(now)
            if now - self.swept > SWEEP * 1e9:
                self.swept = now
                self._sweep(now)
        finally:
            now = self.clock.now()
            self._tick_after(
                loop, self.dispatcher.wheel.rest(now, int(self.longest_rest * 1e9)), now
            )

    def _tick_after(self, loop: asyncio.AbstractEventLoop, rest: int, now: int) -> None:
        self.ticked = now + rest
        # The loop's own timers go by whole milliseconds.
        self.next_tick = loop.call_later(-(-rest // MS) / 1e3, self._tick, loop)

    def _wake(self) -> None:
        """Something falls due before the tick that is waited for."""
        if self.next_tick is not None:
            self.next_tick.cancel()
            now = self.clock.now()
            self._tick_after(asyncio.get_running_loop(), self.dispatcher.wheel.until(now), now)

    def _sweep(self, now: int) -> None:
        self.dispatcher.pools.sweep(now)
        unread = 0
        for client in sorted(self.clients, key=ClientConnection.unread):
            unread += client.unread()
            if unread > self.dispatcher.room or (
                client.paused_at and now - client.paused_at > self.dispatcher.terms.slow_reader
            ):
                self.log("client", "unread answers are given up, their connection closed")
                client.drop()

    def _loop_fault(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.log("fault", f"{context.get('message')}: {context.get('exception')!r}")

    def stop(self) -> None:
        self.dispatcher.pools.close()
        self.admin_api.close()
        if self.peer_processes is not None:
            self.peer_processes.stop()
        if self.watch_client is not None:
            self.watch_client.stop()
        self.stopped.set()


def serve(make: Callable[[], Node]) -> None:
    """Until SIGTERM; ConfigError where the address cannot be listened on."""

    async def main() -> None:
        await make().run()
        signals.let_be(asyncio.get_running_loop())

    uvloop.run(main())
