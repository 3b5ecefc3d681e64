"""A node with cells: it composes their parts and keeps the map in step with other processes."""

from __future__ import annotations

import os
from collections.abc import Collection, Mapping
from typing import Any

from ..config import Config
from ..dispatch.dispatcher import Dispatcher
from ..operator_config.script import OperatorFileError
from ..operator_config.service import ConfiguredNode
from ..operator_config.settings import OperatorConfig
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

#: The fraction of the loop's time that goes by turns: reading requests and deciding on them. The
#: rest of each tick is for the endpoints' answers.
READ_TURNS_FRACTION = 0.6


class CellNode(ConfiguredNode):
    """A node whose operators' file names cells.

    Attributes:
        map: The cell map in force.
        digest: Its digest.
        published_map: The map as it is published to the other processes.
        process_name: The name of this process, unique among those of the broker.
        peers: The status of the other processes' cells, by their names.
        read_turns: The turns of client connections.
        connection_accounting: The admission of client connections, which accounts them to cells.
    """

    longest_rest_ns = 0  # rounds of turns begin with every tick
    read_turns: ReadTurns
    connection_accounting: CellAdmission

    def __init__(
        self,
        config: Config,
        operator_config: OperatorConfig,
        path: str,
        environ: Mapping[str, str] = os.environ,
    ) -> None:
        """Build the parts; nothing listens before ``run``.

        Args:
            config: The configuration as it was read.
            operator_config: The operators' file as it was read; it names cells.
            path: Where SIGHUP reads the operators' file again.
            environ: Where a reload finds the configuration again.
        """
        assert operator_config.cell_map is not None, "no cells"
        self.set_map(operator_config.cell_map)
        self.process_name = f"{os.getpid()}-{os.urandom(4).hex()}"
        self.peers: dict[str, PeerCellStatus] = {}
        super().__init__(config, operator_config, path, environ)
        self._migrations = MigrationService(self)
        self.admin_api.add_call_handler(CellAdmin(self))
        self._log_unknown_tenants()

    @property
    def celled(self) -> CellDispatcher:
        """The dispatcher, by its type."""
        assert isinstance(self.dispatcher, CellDispatcher)
        return self.dispatcher

    # --- extension points of the node ---

    def make_dispatcher(self) -> Dispatcher:
        """Build the dispatcher with the cells of the map."""
        return CellDispatcher(self.config, self.clock, self.log, self.map, self.process_name)

    def make_admission(self) -> ClientAdmission:
        """Build the admission of client connections to cells, and their turns to read."""
        weights = self.celled.cell_weights_with_unassigned()
        self.read_turns = ReadTurns(weights, READ_TURNS_FRACTION * self.config.settings.tick_ns)
        self.connection_accounting = CellAdmission(self, self.celled, self.read_turns)
        return self.connection_accounting

    def make_connection(self) -> ClientConnection:
        """Build the protocol of a connection that has just been accepted."""
        return CellClientConnection(self)

    def after_tick(self) -> None:
        """Begin a round of turns and advance the migrations."""
        super().after_tick()
        try:
            self.read_turns.next_round()
            self._migrations.step_if_due(self.clock.now())
        except Exception as error:  # a fault here must not end the tick of everything else
            self.log("fault", f"cells: {type(error).__name__}: {error}")

    # --- other processes of this broker ---

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

    def apply_peer_statuses(self, others: Collection[ProcessStatus]) -> None:
        """Take in what the other processes have published: maps, seats and migrations."""
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
        # A process that serves already keeps the seats that it has.
        if is_first and self.server is None:
            for peer in self.peers.values():
                if peer.epoch <= self.map.epoch:
                    self.celled.adopt_seats(peer.seats)
        for peer in self.peers.values():
            self.celled.migrations.merge(peer.migrations)

    def read_peer_status(self, fields: Mapping[str, Any]) -> PeerCellStatus | None:
        """Read the status of another process's cells; None if it has none.

        It may be of another version: one that cannot be read is logged and left out.
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
        """Take a newer map over; log another one of the same epoch."""
        if peer.newer_map is not None and peer.epoch > self.map.epoch:
            self.log(
                "cells",
                f"another process has the map of epoch {peer.epoch}: adopted",
            )
            self.apply_map(peer.newer_map)
        elif peer.epoch == self.map.epoch and peer.digest != self.digest:
            self.log("cells", f"another process has another map of the same epoch {self.map.epoch}")

    # --- maps ---

    def set_map(self, map: CellMap) -> None:
        """Note the map in force, in the form in which it is published as well."""
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
        """Log tenants of the map that the settings do not have.

        That is no fault: the two files may change one after the other.
        """
        configured = self.dispatcher.validator.tenants
        if not configured:
            return
        unknown = [tenant for tenant in self.map.tenants if tenant not in configured]
        if unknown:
            self.log(
                "cells",
                f"{len(unknown)} tenants of the file are none of the settings, among them "
                f"{unknown[0]!r}",
            )

    def check_operator_config(self, operator_config: OperatorConfig) -> OperatorConfig:
        """Reject a file that cannot take the place of the one in force.

        An old file put back by mistake would undo migrations at this process and not at the others.
        """
        reason = self._reason_to_reject(operator_config.cell_map)
        if reason:
            message = f"{self.operator_file}: {reason}"
            raise OperatorFileError(message)
        return operator_config

    def _reason_to_reject(self, map: CellMap | None) -> str:
        """Return the key and the problem of a file's map; empty if it may be put in force."""
        if map is None:
            return "cell: none is named, and the program was started with some"
        if map.epoch < self.map.epoch:
            return f"epoch: {map.epoch} is older than {self.map.epoch}, which is in force"
        if map.epoch == self.map.epoch and map.digest() != self.digest:
            return (
                f"epoch: {map.epoch} is in force with another map; a changed map needs a higher one"
            )
        return ""

    def apply_operator_config(self, operator_config: OperatorConfig) -> None:
        """Put another operators' file in force, and its map."""
        super().apply_operator_config(operator_config)
        if operator_config.cell_map is not None:
            self.apply_map(operator_config.cell_map)
