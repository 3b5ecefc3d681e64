"""The service that advances migrations, shows them the cluster and carries out their orders."""

from __future__ import annotations

from .host import CellHost
from .migration_steps import step_migrations
from .migrations import Fleet, Migration, Stage

#: The interval between steps, a fraction of `SWITCH_LEAD_NS`.
STEP_PERIOD_NS = 50_000_000


class MigrationService:
    """Advances the migrations of a node; it is the `ClusterView` of their steps."""

    def __init__(self, node: CellHost) -> None:
        """Start without a step."""
        self._node = node
        self._last_step_ns = 0

    def step_if_due(self, now_ns: int) -> None:
        """Advance the migrations if `STEP_PERIOD_NS` has passed since the last step."""
        if now_ns - self._last_step_ns >= STEP_PERIOD_NS:
            self._last_step_ns = now_ns
            self._step(now_ns)

    def _step(self, now_ns: int) -> None:
        dispatcher = self._node.celled
        log = dispatcher.migrations
        stages_before = {subject: migration.stage for subject, migration in log.records.items()}
        accepting = [name for name, peer in self._node.peers.items() if peer.accepting]
        # A process that is shutting down leaves its migrations to the peers that accept requests.
        if not self._node.closing_announced or not accepting:
            step_migrations(log, now_ns, self, accepting)
        self._log_changes(stages_before)
        close_outs = log.close_outs
        log.close_outs = []
        for order in close_outs:
            dispatcher.close_out(order.subject, order.cell)
        if log.has_unpublished_changes:
            log.has_unpublished_changes = False
            if self._node.peer_processes is not None:
                self._node.peer_processes.publish_status()

    def _log_changes(self, stages_before: dict[str, Stage]) -> None:
        for subject, migration in self._node.celled.migrations.records.items():
            if stages_before.get(subject) is migration.stage:
                continue
            reason = f" ({migration.reason})" if migration.reason else ""
            self._node.log("cells", f"{migration.summary()}{reason}")

    def fleet(self, cell: str) -> Fleet:
        """Return the number of the cell's endpoints that accept new work."""
        return self._node.celled.router.seats.fleet(cell, self._node.clock.now())

    def open_count(self, subject: str, cell: str) -> int:
        """Return the subject's open requests in the cell, in all processes of the broker."""
        count = self._node.celled.router.open_counts.get((subject, cell), 0)
        for peer in self._node.peers.values():
            count += peer.open_requests.get(subject, {}).get(cell, 0)
        return count

    def is_replicated(self, migration: Migration) -> bool:
        """Return whether all other processes of the broker have this record or a later one."""
        for peer in self._node.peers.values():
            versions = [
                record.version for record in peer.migrations if record.subject == migration.subject
            ]
            if not any(version >= migration.version for version in versions):
                return False
        return True
