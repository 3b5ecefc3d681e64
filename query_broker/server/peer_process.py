"""Exchange of status with the other processes of this broker during an upgrade.

While two processes serve side by side they divide the limits of the broker and share the operators'
calls; the older one stops accepting once the newer one accepts connections.
"""

from __future__ import annotations

from collections.abc import Collection
from pathlib import Path

from .host import NodeContext
from .process_status import ProcessStatus, encode_status
from .status_files import StatusFiles

# Time between two polls. A status must reach the other process within a second; ten polls allow
# for an event loop that is late.
POLL_PERIOD_NS = 100_000_000


class PeerProcesses:
    """Publishes the status of this process and takes in those of the others.

    Attributes:
        accepting: Whether this process accepts new connections; cleared by the graceful shutdown.
        statuses: The last complete status of each other process that is alive, by its name.
        files: The lock and status files in the shared folder.
    """

    def __init__(self, node: NodeContext, folder: str) -> None:
        """Prepare the exchange in this folder; ``start`` begins it."""
        self.node = node
        self.accepting = True
        self.statuses: dict[str, ProcessStatus] = {}
        self.files = StatusFiles(Path(folder), node.config.name)

    @property
    def others(self) -> Collection[str]:
        """The names of the other processes that are alive."""
        return self.statuses.keys()

    def start(self) -> None:
        """Join the exchange, before the first client: the operators' states apply from then on."""
        try:
            self.files.create()
        except OSError as error:
            self.node.log("upgrade", f"no file in {self.files.folder}: {error}")
        self.poll()
        self.publish_status()

    def stop(self) -> None:
        """Leave the exchange: the files of this process are removed."""
        self.files.remove_own()

    def publish_status(self) -> None:
        """Publish the present status of this process."""
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
            self.node.log("upgrade", f"nothing published to the other process: {error}")

    def has_successor(self) -> bool:
        """Return whether another process accepts the connections that come from now on."""
        return any(status.accepting for status in self.statuses.values())

    def poll_periodically(self) -> None:
        """Poll now and again after each period; publish while another process is alive."""
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
            self.node.log("upgrade", f"{self.files.folder}: {error}")
            return
        self.statuses = self._read_statuses(names, before)
        if not before and not self.statuses:
            return
        self._apply_administrative_states()
        self.node.apply_peer_statuses(self.statuses.values())
        if before.keys() != self.statuses.keys():
            self.node.log("upgrade", f"{len(self.statuses)} other processes of this broker")

    def _read_statuses(
        self, names: list[str], before: dict[str, ProcessStatus]
    ) -> dict[str, ProcessStatus]:
        """Read the processes that are alive, and remove the files of those that are not."""
        statuses: dict[str, ProcessStatus] = {}
        for name in names:
            if not self.files.is_alive(name):
                self.files.remove(name)
                continue
            # An incomplete file is being written: the status before holds until the next poll.
            statuses[name] = self.files.read(name) or before.get(name) or ProcessStatus()
        return statuses

    def _apply_administrative_states(self) -> None:
        for status in self.statuses.values():
            for uid, state in status.administrative_states.items():
                self.node.dispatcher.apply_administrative_state(uid, state)
