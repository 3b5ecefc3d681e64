"""One running broker, which owns the sockets, the dispatcher and the parts that run them.

Nodes with an operators' file (``query_broker.operator_config``) or with cells
(``query_broker.cells``) are subclasses of ``Node`` that override its extension points.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from functools import partial
from typing import Any

import uvloop

from ..config import Config
from ..decisions.facade import PeerProcessLoad
from ..discovery.event_codec import EndpointListEvent
from ..discovery.watch_client import WatchClient
from ..dispatch.dispatcher import Dispatcher
from ..log import Log
from ..protocols.client_connection import ClientConnection
from ..protocols.partial_frames import PartialFrameMemory
from ..protocols.read_queue import ReadQueue
from ..timer_wheel import Clock
from .admin_api import AdminApi
from .client_admission import ClientAdmission
from .graceful_shutdown import GracefulShutdown
from .listener import ACCEPT_BACKLOG, bind_listener, client_listener, raise_descriptor_limit
from .peer_process import PeerProcesses
from .process_status import ProcessStatus, total_outstanding_work
from .reload import ConfigReloader
from .signals import handle_signals, ignore_signals, take_early_sighup
from .tick_loop import SWEEP_PERIOD_NS, TickLoop

ADMIN_ADDRESS_KEY = "operator"  # settings key that the message of a `ListenerError` names


class Node:
    """One running broker.

    Attributes:
        config: The configuration in force.
        dispatcher: Carries requests from the clients to the endpoints.
        admission: The client connections.
        partial_frames: The memory of client frames that are not complete yet.
        read_queue: The client connections whose frames wait for their turn.
        server: The clients' server, once it listens.
        admin_api: The calls for operators.
        peer_processes: The other processes of this broker; None unless the clients' socket is
            inherited, since otherwise no second process can listen.
        watch_client: The client of the discovery service, once one is configured.
        endpoint_list_known: Whether the settings or the service have provided an endpoint list.
        closing_announced: Whether clients have been asked to leave; the node is then no longer
            ready.
        stopped: Set when all resources are released.
    """

    # The longest time between two ticks if no timer is due. Extension point.
    max_tick_interval_ns = SWEEP_PERIOD_NS

    def __init__(self, config: Config, environ: Mapping[str, str] = os.environ) -> None:
        """Build the parts; nothing listens before ``run``.

        Args:
            config: The configuration that was read at the start.
            environ: The environment from which a reload reads the configuration again.
        """
        self.config = replace(config, sockets=raise_descriptor_limit(config.sockets))
        self.log = Log(config.name)
        self.clock = Clock()
        self.dispatcher = self.make_dispatcher()
        self.admission = self.make_admission()
        self.partial_frames = PartialFrameMemory(self.dispatcher)
        self.read_queue = ReadQueue(self.clock)
        self.server: asyncio.Server | None = None
        self.admin_api = AdminApi(self)
        self.peer_processes: PeerProcesses | None = None
        if config.accept_fd is not None:
            self.peer_processes = PeerProcesses(self, config.folder)
        self.watch_client: WatchClient | None = None
        self.endpoint_list_known = False
        self.shutdown = GracefulShutdown(self)
        self.closing_announced = False
        self.reloader = ConfigReloader(self, config, environ)
        self.tick_loop = TickLoop(self)
        self.stopped = asyncio.Event()

    # Extension points, overridden by nodes with an operators' file or with cells.

    def make_dispatcher(self) -> Dispatcher:
        """Build the dispatcher, from the configuration, the clock and the log."""
        return Dispatcher(self.config, self.clock, self.log)

    def make_admission(self) -> ClientAdmission:
        """Build the admission of client connections, after the dispatcher."""
        return ClientAdmission(self)

    def make_connection(self) -> ClientConnection:
        """Build the protocol of a connection that has just been accepted."""
        return ClientConnection(self)

    def make_watch_client(self, address: tuple[str, int]) -> WatchClient:
        """Build the client of the discovery service at this address."""
        return WatchClient(
            address,
            self.config.known_offset,
            self.endpoint_list_changed,
            self.clock,
            self.log,
            random.Random(self.config.seed),
        )

    async def open_sockets(self) -> None:
        """Open the sockets of subsystems, before those of the admin API and of the clients."""

    def apply_config(self, config: Config) -> None:
        """Apply a configuration at a reload, or reject it before anything is changed."""
        self.dispatcher.apply_settings(config)

    def status_extension(self) -> Mapping[str, Any]:
        """Return the keys that subsystems add to the status file, as plain JSON values."""
        return {}

    def after_tick(self) -> None:
        """Do the periodic work of subsystems; the next tick has already been scheduled."""

    def follow_endpoint_list(self, address: tuple[str, int]) -> None:
        """Watch the endpoint list at this address, which replaces any previous address."""
        if self.watch_client is None:
            self.watch_client = self.make_watch_client(address)
            self.watch_client.start()
        else:
            self.watch_client.change_address(address)

    def endpoint_list_changed(self, event: EndpointListEvent) -> None:
        """Apply a watch event; after the first one, this process can succeed another one."""
        is_first = not self.endpoint_list_known
        self.endpoint_list_known = True
        self.dispatcher.endpoint_list_changed(event)
        if is_first and self.peer_processes is not None:
            self.peer_processes.publish_status()

    @property
    def clients(self) -> set[ClientConnection]:
        """The client connections that have been admitted."""
        return self.admission.connections

    @property
    def partial_frame_bytes(self) -> int:
        """Bytes of client frames that are not complete yet."""
        return self.partial_frames.total_bytes

    def ready(self) -> bool:
        """Return whether clients should send their requests here."""
        return self.endpoint_list_known and not self.closing_announced

    def earliest_signal_ns(self, now_ns: int) -> int:
        """Return the earliest time at which a signal that is handled now may have come."""
        return self.tick_loop.earliest_signal_ns(now_ns)

    def admit(self, connection: ClientConnection) -> bool:
        """Admit a new connection; False if there is no capacity for it."""
        return self.admission.admit(connection)

    def release(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.admission.discard(connection)

    def apply_peer_statuses(self, others: Collection[ProcessStatus]) -> None:
        """Divide the broker's limits among this and the other processes."""
        accepting_processes = 1 + sum(other.accepting for other in others)
        self.dispatcher.report_event(
            PeerProcessLoad(total_outstanding_work(others), accepting_processes)
        )
        self.dispatcher.apply_capacity_share(
            1 + len(others), sum(other.clients for other in others)
        )
        self.admission.max_connections = self.dispatcher.max_clients

    async def run(self) -> None:
        """Serve until ``stop`` is called.

        Raises:
            ListenerError: A listening socket cannot be opened.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(partial(_log_callback_error, self))
        for event in self.config.known_events:
            self.dispatcher.endpoint_list_changed(event)
            self.endpoint_list_known = True
        handle_signals(loop, stop=self.shutdown.begin, reload=self.reload)
        if self.peer_processes is not None:
            self.peer_processes.start()
            self.peer_processes.poll_periodically()
        await self.open_sockets()
        if self.config.discovery_address is not None:
            self.follow_endpoint_list(self.config.discovery_address)
        if self.config.admin_address is not None:
            await self.admin_api.listen(
                bind_listener(ADMIN_ADDRESS_KEY, *self.config.admin_address)
            )
        self.server = await loop.create_server(
            self.make_connection, sock=client_listener(self.config), backlog=ACCEPT_BACKLOG
        )
        # Objects that live as long as the process are excluded from garbage collection: scanning
        # them would block the event loop.
        gc.collect()
        gc.freeze()
        self._log_start()
        self.tick_loop.start()
        if take_early_sighup():
            self.reload()
        await self.stopped.wait()
        self.log("stop", "done")

    def _log_start(self) -> None:
        config = self.config
        for remark in config.remarks():
            self.log("config", remark)
        self.log(
            "start",
            f"listening on {config.host}:{config.port}; {config.cores:g} cores, "
            f"{config.memory_mb} MB, {config.sockets} descriptors",
        )

    def reload(self) -> None:
        """Read the configuration again at SIGHUP. Extension point."""
        self.reloader.reload()

    def stop(self) -> None:
        """Release all resources; ``run`` returns. Extension point."""
        self.dispatcher.pools.close()
        self.admin_api.close()
        if self.peer_processes is not None:
            self.peer_processes.stop()
        if self.watch_client is not None:
            self.watch_client.stop()
        self.stopped.set()


def serve(create_node: Callable[[], Node]) -> None:
    """Run the node that ``create_node`` builds on a new event loop until SIGTERM.

    Raises:
        ConfigError: The node cannot be built, or a listening socket cannot be opened.
    """

    async def main() -> None:
        await create_node().run()
        ignore_signals(asyncio.get_running_loop())

    uvloop.run(main())


def _log_callback_error(
    node: Node, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Log an exception that a callback raised; the event loop continues."""
    node.log("fault", f"{context.get('message')}: {context.get('exception')!r}")
