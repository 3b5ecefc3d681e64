"""Connects the start of a broker to its node: the discovery client, the dispatcher, the clients.

The stage of the start decides which of the collaborators acts.
"""

from __future__ import annotations

import random
from dataclasses import replace

from ..decisions.facade import AttemptResult
from ..discovery.watch_client import WatchClient
from ..overriding import override
from ..protocols.client_connection import ClientConnection
from ..protocols.operator_answers import HttpAnswer
from ..server.host import NodeContext
from .client_gate import ClientGate
from .discovery_pace import DiscoveryPace
from .dispatcher_hooks import DispatcherHooks, StartupObserver
from .first_contact import InitialHealthChecks
from .initial_list import InitialList
from .pacing import CallSchedule, RateLimiter, next_slot_ns
from .recovery_ramp import RecoveryRamp
from .settings import NS_PER_SECOND, StartupSettings
from .snapshot_store import SnapshotStore
from .stages import Stage, StartupStages
from .status_report import PATH, metrics_text, status_answer

#: Gives the random numbers of a start another seed than those of the decisions.
SEED_MASK = 0x5747


class StartupService(StartupObserver):
    """The start of one node, driven by the node's tick."""

    def __init__(self, node: NodeContext, settings: StartupSettings) -> None:
        """Read the snapshot if there is a usable one, and register with the dispatcher."""
        self._node = node
        self._settings = settings
        self._broker_index = node.config.settings.broker_index
        self._fleet_size = node.config.settings.fleet_size
        self._draw_fraction = random.Random(node.config.seed ^ SEED_MASK).random
        now_ns = node.clock.now()
        self._stages = StartupStages(_contact_settings(node, settings), now_ns)
        self._logged_stage_count = 0
        self._ramp: RecoveryRamp | None = None
        self._watch_client: WatchClient | None = None
        self._pace: DiscoveryPace | None = None
        self._hooks = DispatcherHooks(node.dispatcher)
        self._initial_checks = InitialHealthChecks(self._hooks, settings.endpoint_probes_per_s)
        self._client_gate = ClientGate(RateLimiter(settings.accepts_per_s, now_ns))
        table = node.dispatcher.endpoint_table
        self._snapshot_store = SnapshotStore(settings, node.clock, node.log, table)
        snapshot = None if node.config.known_events else self._snapshot_store.read()
        self._initial_list = InitialList(node, self._hooks, self._stages, snapshot)
        self._initial_list.begin(now_ns)
        self._hooks.register(self)

    # Called by the node.

    def ready(self) -> bool:
        """Whether the broker is ready for requests."""
        return self._stages.ready()

    def resize(self, broker_index: int, fleet_size: int) -> None:
        """Replace the broker index and the fleet size, which follow the membership."""
        self._broker_index = broker_index
        self._fleet_size = fleet_size
        if self._pace is not None:
            self._pace.resize(broker_index, fleet_size)

    def pace_watch_client(self, client: WatchClient) -> None:
        """Pace the connection attempts of a new discovery client."""
        calls = CallSchedule(
            self._broker_index,
            self._fleet_size,
            self._settings.list_connects_per_s,
            self._draw_fraction,
        )
        self._watch_client = client
        self._pace = DiscoveryPace(calls, self._node.clock, self._initial_list)
        client.pacing = self._pace
        self._initial_list.set_resume_offset(client)

    def watch_event_received(self) -> None:
        """Record that a watch event of the discovery service has been applied."""
        self._initial_list.event_received()

    def client_connected(self, client: ClientConnection) -> None:
        """Read from a new client, or defer reading until the rate limit allows it."""
        if self._stages.stage is not Stage.FULL:
            self._client_gate.connected(client, self._node.clock.now())

    def tick(self, now_ns: int) -> None:
        """Advance the start, and do the periodic work that is due."""
        self._initial_list.tick(now_ns)
        if self._stages.stage is Stage.CONTACT:
            self._advance_contact(now_ns)
        if self._stages.stage is Stage.RAMP:
            self._advance_ramp(now_ns)
        if self._stages.stage is Stage.FULL:
            self._client_gate.release_all()
        else:
            self._client_gate.release_due(now_ns)
        self._log_completed_stages()
        offset = 0 if self._watch_client is None else self._watch_client.last_offset
        self._snapshot_store.save_if_due(now_ns, offset, self._stages.confirmed())
        if self._stages.stage is not Stage.FULL:
            self._node.dispatcher.timer_wheel.wake_next_tick()

    def stop(self) -> None:
        """Save the endpoint list if it has changed since it was last saved."""
        if self._stages.confirmed() and self._watch_client is not None:
            self._snapshot_store.save_now(self._watch_client.last_offset)

    def handle_admin_call(self, method: str, path: str) -> HttpAnswer | None:
        """Answer a call of the admin API; None if its path is not ``/start``."""
        if path != PATH:
            return None
        now_ns = self._node.clock.now()
        position = {"place": self._broker_index, "fleet": self._fleet_size}
        return status_answer(method, {**position, **self._stages.status(now_ns)})

    # Called by the dispatcher.

    @override
    def health_check_ended(self, endpoint: int, result: AttemptResult) -> None:
        """Count the endpoint as contacted if it has answered or rejected the health check."""
        self._initial_checks.health_check_ended(endpoint, result)

    @override
    def connect_delay_ns(self, endpoint: int) -> int:
        """Return the time until this broker's connection slot at an endpoint, in nanoseconds.

        Without slots, hundreds of brokers would connect to one endpoint within a second and
        overload it.
        """
        now_ns = self._node.clock.now()
        slot_ns = next_slot_ns(
            now_ns,
            self._broker_index + endpoint,
            self._fleet_size,
            self._settings.endpoint_connects_per_s,
            self._draw_fraction(),
        )
        return slot_ns - now_ns

    @override
    def metrics(self) -> bytes:
        """Return the lines for the metrics."""
        return metrics_text(self._stages, self._node.clock.now())

    # The stages ``contact`` and ``ramp``.

    def _another_process_serves(self) -> bool:
        processes = self._node.peer_processes
        return processes is not None and bool(processes.others)

    def _skip_ramp(self, now_ns: int) -> None:
        self._stages.skip(now_ns, "another process of this broker serves beside it")
        self._hooks.end_ramp()

    def _advance_contact(self, now_ns: int) -> None:
        if self._another_process_serves():
            self._skip_ramp(now_ns)
            return
        endpoints = self._initial_list.ready_endpoints()
        self._initial_checks.start_due(now_ns, endpoints, self._broker_index, self._fleet_size)
        answered = self._initial_checks.count_answered(endpoints)
        self._stages.endpoints_contacted(now_ns, answered, len(endpoints))

    def _advance_ramp(self, now_ns: int) -> None:
        if self._another_process_serves():
            self._skip_ramp(now_ns)
            return
        self._hooks.share_connections()
        if self._ramp is None:
            self._ramp = RecoveryRamp(self._node, self._settings, self._hooks, now_ns)
            self._hooks.begin_ramp(self)
        self._stages.ramp_advanced(now_ns, self._ramp.advance(now_ns))
        if self._stages.stage is Stage.FULL:
            self._hooks.end_ramp()

    def retry_after_ns(self, proposed_ns: int) -> int:
        """Return the backoff of a rejection, lengthened during the ramp, in nanoseconds."""
        if self._ramp is None:
            return proposed_ns
        return self._ramp.retry_after_ns(proposed_ns, self._node.clock.now(), self._draw_fraction())

    def _log_completed_stages(self) -> None:
        for completed in self._stages.completed[self._logged_stage_count :]:
            duration_s = completed.duration_ns / NS_PER_SECOND
            self._node.log(
                "start", f"{completed.stage.value}: {duration_s:.2f} s, {completed.reason}"
            )
        self._logged_stage_count = len(self._stages.completed)


def _contact_settings(node: NodeContext, settings: StartupSettings) -> StartupSettings:
    """Return the settings, without a wait for endpoints if health checks are disabled."""
    if node.config.settings.limits.health_checks:
        return settings
    return replace(settings, contact_fraction=0.0)
