"""Exchange of status with the other processes of this broker during an upgrade.

Processes that serve at the same time divide the limits of the broker and share the operators'
directives; at SIGTERM the older one stops accepting once the newer one accepts connections.
"""

from __future__ import annotations

from collections.abc import Collection
from pathlib import Path

from .host import NodeContext
from .process_status import ProcessStatus, encode_status
from .status_files import StatusFiles

# A status must reach the other process within a second: ten polls in that time tolerate a late
# event loop.
POLL_PERIOD_NS = 100_000_000


class PeerProcesses:
    """Publishes the status of this process and applies those of the others.

    Attributes:
        accepting: Whether this process accepts new connections; cleared by the graceful shutdown.
        statuses: The last complete status of each other live process, by the process's name.
        files: The lock and status files in the shared folder.
    """

    def __init__(self, node: NodeContext, folder: str) -> None:
        """Prepare the exchange through this folder; ``start`` begins it."""
        self.node = node
        self.accepting = True
        self.statuses: dict[str, ProcessStatus] = {}
        self.files = StatusFiles(Path(folder), node.config.name)

    @property
    def others(self) -> Collection[str]:
        """The names of the other processes that are alive."""
        return self.statuses.keys()

    def start(self) -> None:
        """Join the exchange before the first client, so that directives apply from the start."""
        try:
            self.files.create()
        except OSError as error:
            self.node.log("upgrade", f"cannot create files in {self.files.folder}: {error}")
        self.poll()
        self.publish_status()

    def stop(self) -> None:
        """Leave the exchange by removing the files of this process."""
        self.files.remove_own()

    def publish_status(self) -> None:
        """Publish the current status of this process."""
        if not self.files.created:
            return
        dispatcher = self.node.dispatcher
        status = ProcessStatus(
            # Without an endpoint list this process would accept clients that it cannot serve.
            accepting=self.accepting and self.node.endpoint_list_known,
            clients=len(self.node.clients),
            administrative_states=dispatcher.administrative_states.states,
            outstanding_work=dispatcher.facade.outstanding(self.node.clock.now()),
        )
        try:
            self.files.write(encode_status(status, self.node.status_extension()))
        except OSError as error:
            self.node.log("upgrade", f"cannot write the status file: {error}")

    def has_successor(self) -> bool:
        """Return whether another process accepts new connections."""
        return any(status.accepting for status in self.statuses.values())

    def poll_periodically(self) -> None:
        """Poll now and after each period; publish the status while another process is alive."""
        self.node.dispatcher.timer_wheel.set_timer(
            self.node.clock.now() + POLL_PERIOD_NS, self.poll_periodically
        )
        self.poll()
        if self.statuses:
            self.publish_status()

    def poll(self) -> None:
        """Read the status of each other process and apply what has changed."""
        before = self.statuses
        try:
            names = self.files.other_names()
        except OSError as error:
            self.node.log("upgrade", f"cannot list {self.files.folder}: {error}")
            return
        self.statuses = self._read_statuses(names, before)
        if not before and not self.statuses:
            return
        self._apply_administrative_states()
        self.node.apply_peer_statuses(self.statuses.values())
        if before.keys() != self.statuses.keys():
            self.node.log(
                "upgrade", f"{len(self.statuses)} other processes of this broker are alive"
            )

    def _read_statuses(
        self, names: list[str], before: dict[str, ProcessStatus]
    ) -> dict[str, ProcessStatus]:
        """Read the statuses of live processes, and remove the files of dead ones."""
        statuses: dict[str, ProcessStatus] = {}
        for name in names:
            if not self.files.is_alive(name):
                self.files.remove(name)
                continue
            # An incomplete file is being written: keep the previous status until the next poll.
            statuses[name] = self.files.read(name) or before.get(name) or ProcessStatus()
        return statuses

    def _apply_administrative_states(self) -> None:
        for status in self.statuses.values():
            for uid, state in status.administrative_states.items():
                self.node.dispatcher.apply_administrative_state(uid, state)
