"""A node that applies an operators' file at the start and again at SIGHUP.

``services`` creates the services that the file may configure: start-up, membership, quotas, and
consensus on outliers.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from ..config import Config
from ..deadlines.settings import DeadlineSettings
from ..discovery.event_codec import EndpointListEvent
from ..discovery.watch_client import WatchClient
from ..overriding import override
from ..protocols.client_connection import ClientConnection
from ..server.node import Node
from .apply import LogFormat, apply_deadlines, apply_retry_budget
from .reload import OperatorFileReload
from .script import OperatorFileError
from .services import (
    create_membership_service,
    create_outlier_consensus_service,
    create_quota_service,
    create_startup_service,
)
from .settings import OperatorConfig

if TYPE_CHECKING:
    from ..membership.service import MembershipService
    from ..membership.views import MembershipView
    from ..outlier_consensus.service import OutlierConsensusService
    from ..quotas.service import QuotaService
    from ..startup.service import StartupService

#: Time between two updates of the learned margin.
MARGIN_LEARNING_INTERVAL_NS = 1_000_000_000


class FleetPosition(NamedTuple):
    """The fleet size and this broker's index in the fleet, as the decisions use them."""

    fleet_size: int
    broker_index: int


class ConfiguredNode(Node):
    """A node that is configured by an operators' file as well as by the platform settings.

    Attributes:
        operator_config: The operators' file in force.
        operator_file: Path of the file, which is read again at SIGHUP.
        startup_service: Paces the start; None unless the file has ``start``.
        membership_service: Finds the other brokers; None unless the file has ``members``.
        quota_service: Shares limits between brokers; None unless the file has a ``limit``.
        outlier_consensus_service: Shares observations of endpoints; None unless the file has
            ``verdicts``.
    """

    def __init__(
        self,
        config: Config,
        operator_config: OperatorConfig,
        operator_file: str,
        environ: Mapping[str, str] = os.environ,
    ) -> None:
        """Create the node with the services that the file configures.

        Args:
            config: The platform settings.
            operator_config: The evaluated operators' file.
            operator_file: Path of the file, which is read again at SIGHUP.
            environ: Environment of the process.

        Raises:
            ConfigError: A service needs an optional dependency that is not installed.
        """
        self.operator_config = operator_config
        self.operator_file = operator_file
        self.startup_service: StartupService | None = None
        self.membership_service: MembershipService | None = None
        self.quota_service: QuotaService | None = None
        self.outlier_consensus_service: OutlierConsensusService | None = None
        self._margin_learned_at_ns = 0
        self._fleet_position = FleetPosition(
            config.settings.fleet_size, config.settings.broker_index
        )
        super().__init__(config, environ)
        self._log_format = LogFormat(self)
        self._operator_file_reload = OperatorFileReload(self, self.reloader)
        self._apply_controls(operator_config)
        self._create_services(operator_config)

    def _create_services(self, operator_config: OperatorConfig) -> None:
        if operator_config.startup is not None:
            self.startup_service = create_startup_service(self, operator_config.startup)
        if operator_config.membership is None:
            # Quotas and the consensus on outliers depend on membership; the check of the file
            # rejects them without it.
            return
        membership_service = create_membership_service(
            self, operator_config.membership, self._membership_changed
        )
        self.membership_service = membership_service
        if operator_config.quotas is not None:
            self.quota_service = create_quota_service(
                self, membership_service, operator_config.quotas
            )
        if operator_config.outlier_consensus is not None:
            self.outlier_consensus_service = create_outlier_consensus_service(
                self, membership_service, operator_config.outlier_consensus
            )

    # Extension points of ``Node``.

    @override
    def ready(self) -> bool:
        """Return whether the node and its start-up are ready for requests."""
        return super().ready() and (self.startup_service is None or self.startup_service.ready())

    @override
    def admit(self, connection: ClientConnection) -> bool:
        """Admit a client connection if there is capacity, and pass it to the start-up service."""
        if not super().admit(connection):
            return False
        if self.startup_service is not None:
            self.startup_service.client_connected(connection)
        return True

    @override
    def make_watch_client(self, address: tuple[str, int]) -> WatchClient:
        """Create the client that watches the endpoint list, paced while the fleet starts."""
        watch_client = super().make_watch_client(address)
        if self.startup_service is not None:
            self.startup_service.pace_watch_client(watch_client)
        return watch_client

    @override
    def endpoint_list_changed(self, event: EndpointListEvent) -> None:
        """Apply a change of the endpoint list."""
        super().endpoint_list_changed(event)
        if self.startup_service is not None:
            self.startup_service.watch_event_received()

    @override
    async def open_sockets(self) -> None:
        """Open the sockets of the membership service."""
        if self.membership_service is not None:
            await self.membership_service.open()

    @override
    def stop(self) -> None:
        """Stop the services, then the node."""
        if self.startup_service is not None:
            self.startup_service.stop()
        if self.membership_service is not None:
            self.membership_service.stop()
        super().stop()

    @override
    def after_tick(self) -> None:
        """Run the periodic work of the services."""
        super().after_tick()
        now_ns = self.clock.now()
        if self.startup_service is not None:
            self.startup_service.tick(now_ns)
        self._leave_when_closing()
        self._learn_margin(now_ns)

    def _leave_when_closing(self) -> None:
        service = self.membership_service
        if self.closing_announced and service is not None and not service.detector.own.has_left:
            service.leave()

    def _learn_margin(self, now_ns: int) -> None:
        controls = self.dispatcher.deadline_controls
        is_due = now_ns - self._margin_learned_at_ns >= MARGIN_LEARNING_INTERVAL_NS
        if controls.stages is not None and is_due:
            self._margin_learned_at_ns = now_ns
            controls.margin_ns = controls.stages.learn_margin(now_ns)

    def _membership_changed(self, view: MembershipView) -> None:
        position = FleetPosition(view.effective_size, view.effective_index)
        if position == self._fleet_position:
            return
        self._fleet_position = position
        self.dispatcher.refresh_settings()
        if self.startup_service is not None:
            self.startup_service.resize(position.broker_index, position.fleet_size)

    # The operators' file.

    def check_operator_config(self, operator_config: OperatorConfig) -> OperatorConfig:
        """Return a changed file if it can be applied.

        Raises:
            OperatorFileError: The file adds cells, which needs a restart.
        """
        if operator_config.cell_map is not None:
            raise OperatorFileError.of(
                self.operator_file, "cell", "adding cells needs a restart, since there were none"
            )
        return operator_config

    def apply_operator_config(self, operator_config: OperatorConfig) -> None:
        """Apply a changed file that has been checked."""
        self.operator_config = operator_config
        self._apply_controls(operator_config)

    def _apply_controls(self, operator_config: OperatorConfig) -> None:
        controls = self.dispatcher.deadline_controls
        settings = operator_config.deadlines or DeadlineSettings()
        apply_deadlines(controls, settings)
        apply_retry_budget(controls, settings.retry_budget, self.quota_service)
        self._log_format.apply(operator_config.logs)

    # Reload at SIGHUP.

    @override
    def reload(self) -> None:
        """Reload both files; neither is applied if one of them is rejected."""
        if self.shutdown.started:
            super().reload()
        else:
            self._operator_file_reload.begin()

    def reload_config(self) -> None:
        """Reload the platform settings together with the evaluated operators' file."""
        super().reload()
        self._operator_file_reload.pending_config = None
        if self.membership_service is not None:
            self.membership_service.reload()
        if self.quota_service is not None:
            self.quota_service.configure()

    @override
    def apply_config(self, config: Config) -> None:
        """Apply the platform settings, and the operators' file of the same reload."""
        super().apply_config(config)
        pending_config = self._operator_file_reload.pending_config
        if pending_config is not None:
            self.apply_operator_config(pending_config)
