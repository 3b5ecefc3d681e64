"""The operators' address: what its calls do, and which connections it admits."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

from ..dispatch.capacity import MAX_OPERATOR_CALLS
from ..protocols.operator_http import OperatorConnection
from .host import NodeContext

# Characters of an endpoint's uid in a log line; a caller may send kilobytes of it.
MAX_LOGGED_UID_LENGTH = 80


class AdminResponse(NamedTuple):
    """The answer to an operators' call."""

    status: int  # of HTTP
    body: bytes
    content_type: str
    allowed_method: str  # for the Allow header of a 405, else empty


# A subsystem's answer to a method and a path; None where the path is not one of its own.
AdminCall = Callable[[str, str], tuple[int, bytes, str, str] | None]


class AdminApi:
    """Serves the operators' calls.

    Attributes:
        calls: The calls of other subsystems, asked in this order.
        connections: The open connections, in the order in which they came.
    """

    def __init__(self, node: NodeContext) -> None:
        """Prepare the calls; ``listen`` opens the address."""
        self.node = node
        self.timer_wheel = node.dispatcher.timers
        self.connections: dict[OperatorConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.calls: list[AdminCall] = []

    async def listen(self, listener: socket.socket) -> None:
        """Serve calls on this bound socket."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: OperatorConnection(self), sock=listener)

    def close(self) -> None:
        """Stop listening and end all connections; an answer that is on its way still leaves."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.answered:
                connection.close()
            else:
                connection.drop()

    # --- called by the connections ---

    def now(self) -> int:
        """Return the time in Unix nanoseconds."""
        return self.node.clock.now()

    def ready(self) -> bool:
        """Return whether clients should send their requests here."""
        return self.node.ready()

    def metrics(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return self.node.dispatcher.metrics()

    def set_endpoint_disabled(self, uid: str, disabled: bool) -> bool:
        """Disable or enable an endpoint by hand; False where the uid is not known."""
        done = self.node.dispatcher.set_endpoint_disabled(uid, disabled)
        if done and self.node.peer_processes is not None:
            # Once the caller has its answer, the call holds at the other process as well.
            self.node.peer_processes.publish_status()
        action = "out" if disabled else "back"
        result = "done" if done else "is not known"
        self.log("operator", f"{action}: {uid[:MAX_LOGGED_UID_LENGTH]!r} {result}")
        return done

    def call_subsystem(self, method: str, path: str) -> AdminResponse | None:
        """Return the answer of the subsystem that serves this path; None where none does."""
        for call in self.calls:
            answer = call(method, path)
            if answer is not None:
                return AdminResponse(*answer)
        return None

    def admit(self, connection: OperatorConnection) -> None:
        """Admit a connection; past the limit it takes the place of another.

        A flood of connections would take the descriptors that are reserved for calls. The place is
        that of one that has its answer, else of the one that has been silent longest.
        """
        if len(self.connections) >= MAX_OPERATOR_CALLS:
            victim = self._eviction_candidate()
            del self.connections[victim]
            victim.drop()
        self.connections[connection] = None

    def _eviction_candidate(self) -> OperatorConnection:
        for connection in self.connections:
            if connection.answered:
                return connection
        return next(iter(self.connections))

    def release(self, connection: OperatorConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.pop(connection, None)

    def log(self, kind: str, text: str) -> None:
        """Write a line to the node's log."""
        self.node.log(kind, text)
