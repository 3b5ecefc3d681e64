"""The membership service: connects the failure detector to sockets, files and the node.

The I/O is in `datagrams.py`, `table_exchange.py`, `listeners.py` and `key_files.py`. The node's
timer wheel triggers the ticks.
"""

from __future__ import annotations

import asyncio
import os
import random
from dataclasses import replace

from ..config import ConfigError
from ..decisions.facade import Settings
from ..protocols.operator_answers import HttpAnswer
from ..server.host import NodeContext
from .addresses import split_address
from .admin_api import MembershipAdminApi
from .codec import MAX_FRAME_BYTES, Codec
from .datagrams import DatagramEndpoint, TopicHandler
from .errors import KeyFileError
from .failure_detector import FailureDetector
from .incarnations import IncarnationChain
from .key_files import read_key_file, read_seeds_file
from .keys import KeyRing
from .listeners import BoundSockets, bind_sockets
from .message_exchange import MessageExchange
from .messages import Identity, Status, TopicMessage, process_name
from .metrics_text import render_metrics
from .settings import MembershipSettings
from .table_exchange import TableExchange
from .traffic import TrafficCounters
from .view_publisher import ViewListener, ViewPublisher
from .views import ViewTracker

TICKS_PER_INTERVAL = 5
MAX_SEEDS = 1_000
RANDOM_SEED_BYTES = 16
LOG_KIND = "members"
FAULT_LOG_KIND = "fault"
PEER_MESSAGES_NOT_ALLOWED = (
    "members: settings.policy_limits.peer_messages does not allow messages to peers"
)


class MembershipService:
    """The membership service of this broker.

    Attributes:
        detector: The failure detector.
        codec: Codec of all messages.
    """

    def __init__(
        self, node: NodeContext, settings: MembershipSettings, listener: ViewListener
    ) -> None:
        """Read the key and seeds files and bind the sockets.

        Raises:
            ConfigError: Messages to peers are not allowed, the key file cannot be used, or the
                address cannot be bound.
        """
        if not node.config.settings.limits.peer_messages:
            raise ConfigError(PEER_MESSAGES_NOT_ALLOWED)
        self._node = node
        self._settings = settings
        self.codec = Codec(settings.installation, _initial_keys(settings.key_file))
        self._sockets = _bind(settings.listen_address)
        self._traffic = TrafficCounters()
        self.detector = _make_detector(node, settings, self._sockets.port)
        messages = MessageExchange(self.detector, self.codec, self._traffic, self)
        self._datagrams = DatagramEndpoint(messages)
        self._exchange = TableExchange(messages)
        self._publisher = ViewPublisher(
            node, settings, self.detector, self._datagrams.rate_limiter, self, listener
        )
        self._admin = MembershipAdminApi(self.detector, self.views, self.codec, self._traffic, self)
        self._server: asyncio.Server | None = None
        self._tick_due_ns = self.now_ns()
        self._load_seeds()

    async def open(self) -> None:
        """Listen on both sockets and start the ticks."""
        await self._datagrams.open(self._sockets.udp)
        self._server = await asyncio.start_server(
            self._exchange.serve, sock=self._sockets.tcp, limit=MAX_FRAME_BYTES
        )
        address = self._settings.listen_address
        self.log(f"listening on {address}, advertised as {self.detector.me.address}")
        self._tick()

    def stop(self) -> None:
        """Close the sockets and cancel running table exchanges."""
        self._exchange.close()
        self._datagrams.close()
        if self._server is not None:
            self._server.close()

    def reload(self) -> None:
        """Reload keys and seeds, and apply the configured fleet size and index.

        If the key file cannot be used, the previous keys stay in force.
        """
        path = self._settings.key_file
        try:
            self.codec.key_ring = read_key_file(path)
        except KeyFileError as error:
            self.log(f"signing keys not reloaded: {path}: {error}")
        self._load_seeds()
        self._publisher.configure()

    def leave(self) -> None:
        """Announce the leave of this process: at SIGTERM, or when an operator requests it."""
        now_ns = self.now_ns()
        self.detector.leave()
        self.carry_out(now_ns)
        self._publisher.observe(now_ns)

    @property
    def views(self) -> ViewTracker:
        """The tracker of the published view."""
        return self._publisher.views

    @property
    def name(self) -> str:
        """The process name of this process."""
        return process_name(self.detector.me)

    def names(self) -> tuple[str, ...]:
        """Return the process names of the view's members, including this process."""
        return tuple(process_name(identity) for identity in self.views.view.members)

    def subscribe(self, topic: str, handler: TopicHandler) -> None:
        """Register the handler of a topic's messages."""
        self._datagrams.subscribe(topic, handler)

    def send(self, topic: str, name: str, payload: bytes) -> None:
        """Queue a message to a member by its process name; `flush` sends it.

        The payload must fit into a datagram.
        """
        address, _, boot = name.rpartition("/")
        recipient = Identity(address, bytes.fromhex(boot))
        self.detector.messenger.send(recipient, TopicMessage(topic, payload))

    def flush(self) -> None:
        """Send all queued messages."""
        self.carry_out(self.now_ns())

    def adjust(self, settings: Settings) -> Settings:
        """Return the decision settings with the effective fleet size and index."""
        view = self.views.view
        return replace(settings, fleet_size=view.effective_size, broker_index=view.effective_index)

    def handle_admin_call(self, method: str, path: str) -> HttpAnswer | None:
        """Answer an admin API call; None if the path does not belong to the membership."""
        return self._admin.handle_admin_call(method, path)

    def metrics(self) -> bytes:
        """Return the membership metrics for `/metrics`."""
        return render_metrics(self.detector, self.views.view, self.codec, self._traffic)

    def now_ns(self) -> int:
        """Return the current time."""
        return self._node.clock.now()

    def log(self, text: str) -> None:
        """Write a line to the log."""
        self._node.log(LOG_KIND, text)

    def carry_out(self, now_ns: int) -> None:
        """Send queued messages, start table exchanges, and log and publish member changes."""
        self._datagrams.send_all(self.detector.take_outgoing())
        for address in self.detector.take_sync_requests():
            self._exchange.start(address)
        changes = self.detector.take_changes()
        for change in changes:
            if change.status is Status.LEFT:
                self.views.record_leave()
            if change.status is not Status.SUSPECT:
                self.log(f"{change.member.address}: {change.reason}")
        if changes:
            self._publisher.observe(now_ns)

    def _tick(self) -> None:
        if self._exchange.is_closed:
            return
        now_ns = self.now_ns()
        late_ns = max(0, now_ns - self._tick_due_ns)
        self._tick_due_ns = now_ns + self._settings.interval_ns // TICKS_PER_INTERVAL
        self._node.dispatcher.timer_wheel.set_timer(self._tick_due_ns, self._tick)
        try:
            self.detector.tick(now_ns, late_ns)
            self.carry_out(now_ns)
            if now_ns - self._publisher.observed_at_ns >= self._settings.interval_ns:
                self._publisher.observe(now_ns)
        except Exception as error:  # An exception must not stop the timer wheel.
            self._node.log(FAULT_LOG_KIND, f"members: {type(error).__name__}: {error}")

    def _load_seeds(self) -> None:
        seeds = list(self._settings.seeds)
        path = self._settings.seeds_file
        if path:
            try:
                seeds += read_seeds_file(path)
            except (OSError, UnicodeDecodeError) as error:
                self.log(f"seeds file not read: {path}: {error}")
        self.detector.contacts.seeds = [
            seed
            for seed in dict.fromkeys(seeds[:MAX_SEEDS])
            if seed.rpartition(":")[2].isdecimal() and seed != self.detector.me.address
        ]


def _initial_keys(path: str) -> KeyRing:
    try:
        return read_key_file(path)
    except KeyFileError as error:
        problem = f"members.key_file: {path}: {error}"
        raise ConfigError(problem) from None


def _bind(address: str) -> BoundSockets:
    host, port = split_address(address)
    try:
        return bind_sockets(host, port)
    except OSError as error:
        problem = f"members.address: {address}: {error}"
        raise ConfigError(problem) from None


def _make_detector(node: NodeContext, settings: MembershipSettings, port: int) -> FailureDetector:
    host, _ = split_address(settings.listen_address)
    configured = node.config.settings
    return FailureDetector(
        settings.advertise_address or f"{host}:{port}",
        settings,
        IncarnationChain(),
        random.Random(os.urandom(RANDOM_SEED_BYTES)),
        node.clock.now(),
        configured.broker_index,
        configured.zone,
    )
