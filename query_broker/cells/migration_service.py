"""The service that advances migrations: it is their view of the cluster and carries orders out."""

from __future__ import annotations

from .host import CellHost
from .migration_steps import step_migrations
from .migrations import Fleet, Migration, Stage

#: How often migrations are advanced: several steps within the lead of a switch.
STEP_PERIOD_NS = 50_000_000


class MigrationService:
    """Advances the migrations of a node; it is the `ClusterView` of their steps."""

    def __init__(self, node: CellHost) -> None:
        """Start without a step."""
        self._node = node
        self._stepped_at_ns = 0

    def step_if_due(self, now_ns: int) -> None:
        """Advance the migrations if the last step is long enough ago."""
        if now_ns - self._stepped_at_ns >= STEP_PERIOD_NS:
            self._stepped_at_ns = now_ns
            self._step(now_ns)

    def _step(self, now_ns: int) -> None:
        dispatcher = self._node.celled
        log = dispatcher.migrations
        stages_before = {subject: migration.stage for subject, migration in log.records.items()}
        accepting = [name for name, peer in self._node.peers.items() if peer.accepting]
        # A process that leaves must not drive what it will not see the end of.
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

    # --- what a step looks at ---

    def fleet(self, cell: str) -> Fleet:
        """Return the cell's endpoints."""
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
