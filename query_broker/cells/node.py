"""A node with cells, which composes their parts and synchronises the map with other processes."""

from __future__ import annotations

import os
from collections.abc import Collection, Mapping
from typing import Any

from ..config import Config
from ..dispatch.dispatcher import Dispatcher
from ..operator_config.script import OperatorFileError
from ..operator_config.service import ConfiguredNode
from ..operator_config.settings import OperatorConfig
from ..overriding import override
from ..protocols.client_connection import ClientConnection
from ..server.client_admission import ClientAdmission
from ..server.process_status import KEY_ACCEPTING, KEY_CELLS, ProcessStatus
from .admin import CellAdmin
from .cell_status import PeerCellStatus, PublishedMap, encode_cell_status, read_cell_status
from .client_admission import CellAdmission
from .client_connection import CellClientConnection
from .dispatcher import CellDispatcher
from .migration_service import MigrationService
from .model import CellMap, CellMapError
from .read_turns import ReadTurns

#: The fraction of the event loop's time for reading and deciding on requests, which is divided
#: among the cells. The rest of each tick is for the endpoints' answers.
READ_TURNS_FRACTION = 0.6


class CellNode(ConfiguredNode):
    """A node whose operators' file names cells.

    Attributes:
        map: The cell map in force.
        digest: The digest of the map.
        published_map: The map in the form that is published to the other processes.
        process_name: The name of this process, unique among those of the broker.
        peers: The status of the other processes' cells, by their names.
        read_turns: Schedules the reads of client connections.
        connection_accounting: The admission of client connections, which accounts them to cells.
    """

    max_tick_interval_ns = 0  # a round of `read_turns` begins with every tick
    read_turns: ReadTurns
    connection_accounting: CellAdmission

    def __init__(
        self,
        config: Config,
        operator_config: OperatorConfig,
        path: str,
        environ: Mapping[str, str] = os.environ,
    ) -> None:
        """Create the parts; no socket listens before ``run``.

        Args:
            config: The configuration.
            operator_config: The content of the operators' file, which names cells.
            path: The path of the operators' file, which SIGHUP reads again.
            environ: The environment, by which a reload finds the configuration.
        """
        assert operator_config.cell_map is not None, "the operators' file names no cells"
        self.set_map(operator_config.cell_map)
        self.process_name = f"{os.getpid()}-{os.urandom(4).hex()}"
        self.peers: dict[str, PeerCellStatus] = {}
        super().__init__(config, operator_config, path, environ)
        self._migrations = MigrationService(self)
        self.admin_api.add_call_handler(CellAdmin(self))
        self._log_unknown_tenants()

    @property
    def celled(self) -> CellDispatcher:
        """The dispatcher, as a `CellDispatcher`."""
        assert isinstance(self.dispatcher, CellDispatcher)
        return self.dispatcher

    @override
    def make_dispatcher(self) -> Dispatcher:
        """Create the dispatcher with the cells of the map."""
        return CellDispatcher(self.config, self.clock, self.log, self.map, self.process_name)

    @override
    def make_admission(self) -> ClientAdmission:
        """Create the admission of client connections and the scheduling of their reads."""
        weights = self.celled.cell_weights_with_unassigned()
        self.read_turns = ReadTurns(weights, READ_TURNS_FRACTION * self.config.settings.tick_ns)
        self.connection_accounting = CellAdmission(self, self.celled, self.read_turns)
        return self.connection_accounting

    @override
    def make_connection(self) -> ClientConnection:
        """Create the protocol of a connection that has just been accepted."""
        return CellClientConnection(self)

    @override
    def after_tick(self) -> None:
        """Begin a round of reads and advance the migrations."""
        super().after_tick()
        try:
            self.read_turns.next_round()
            self._migrations.step_if_due(self.clock.now())
        except Exception as error:  # a fault here must not prevent the rest of the tick
            self.log("fault", f"cells: {type(error).__name__}: {error}")

    @override
    def status_extension(self) -> dict[str, Any]:
        """Return the status of the cells, for the other processes."""
        router = self.celled.router
        return encode_cell_status(
            self.process_name,
            self.published_map,
            self.celled.migrations,
            router.open_counts,
            router.seats.placement.seats,
        )

    @override
    def apply_peer_statuses(self, others: Collection[ProcessStatus]) -> None:
        """Apply what the other processes have published: maps, seats and migrations."""
        super().apply_peer_statuses(others)
        is_first = not self.peers
        self.peers = {}
        for other in others:
            fields = {KEY_ACCEPTING: other.accepting, KEY_CELLS: other.cells}
            peer = self.read_peer_status(fields)
            if peer is not None:
                self.peers[peer.process_name] = peer
        for peer in self.peers.values():
            self._compare_maps(peer)
        # A process that already serves requests keeps its seats.
        if is_first and self.server is None:
            for peer in self.peers.values():
                if peer.epoch <= self.map.epoch:
                    self.celled.adopt_seats(peer.seats)
        for peer in self.peers.values():
            self.celled.migrations.merge(peer.migrations)

    def read_peer_status(self, fields: Mapping[str, Any]) -> PeerCellStatus | None:
        """Read the status of another process's cells; return None if it has none or is unreadable.

        The process may run another version, so an unreadable status is logged and ignored.
        """
        try:
            return read_cell_status(fields, self.map.epoch)
        except (CellMapError, ValueError, TypeError, KeyError, AttributeError) as error:
            self.log(
                "cells",
                f"the status of another process cannot be read: {type(error).__name__}: {error}",
            )
            return None

    def _compare_maps(self, peer: PeerCellStatus) -> None:
        """Adopt a newer map; log a different map of the same epoch."""
        if peer.newer_map is not None and peer.epoch > self.map.epoch:
            self.log(
                "cells",
                f"adopting the map of epoch {peer.epoch} of another process",
            )
            self.apply_map(peer.newer_map)
        elif peer.epoch == self.map.epoch and peer.digest != self.digest:
            self.log("cells", f"another process has a different map of epoch {self.map.epoch}")

    def set_map(self, map: CellMap) -> None:
        """Store the map in force, its digest and its published form."""
        self.map = map
        self.published_map = PublishedMap.of(map)
        self.digest = self.published_map.digest

    def apply_map(self, map: CellMap) -> None:
        """Put another map in force."""
        self.set_map(map)
        self.celled.apply_map(map)
        self.read_turns.turns.set_weights(self.celled.cell_weights_with_unassigned())
        self.connection_accounting.leave_dropped_cells(map)
        self._log_unknown_tenants()

    def _log_unknown_tenants(self) -> None:
        """Log tenants of the map that are not in the settings.

        This is not an error, since the two files may be changed one after the other.
        """
        configured = self.dispatcher.validator.tenants
        if not configured:
            return
        unknown = [tenant for tenant in self.map.tenants if tenant not in configured]
        if unknown:
            self.log(
                "cells",
                f"{len(unknown)} tenants of the operators' file are not in the settings, "
                f"among them {unknown[0]!r}",
            )

    @override
    def check_operator_config(self, operator_config: OperatorConfig) -> OperatorConfig:
        """Reject a file that must not replace the one in force.

        An old file that is restored by mistake would undo migrations in this process only.
        """
        reason = self._reason_to_reject(operator_config.cell_map)
        if reason:
            message = f"{self.operator_file}: {reason}"
            raise OperatorFileError(message)
        return operator_config

    def _reason_to_reject(self, map: CellMap | None) -> str:
        """Return the key and the problem of a file's map; empty if the map may be put in force."""
        if map is None:
            return "cell: none is named, but this process was started with cells"
        if map.epoch < self.map.epoch:
            return f"epoch: {map.epoch} is older than {self.map.epoch}, which is in force"
        if map.epoch == self.map.epoch and map.digest() != self.digest:
            return (
                f"epoch: {map.epoch} is in force with another map; "
                "a changed map needs a higher epoch"
            )
        return ""

    @override
    def apply_operator_config(self, operator_config: OperatorConfig) -> None:
        """Put another operators' file and its map in force."""
        super().apply_operator_config(operator_config)
        if operator_config.cell_map is not None:
            self.apply_map(operator_config.cell_map)
