"""The admin API: what its calls do, and which connections are admitted."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from ..dispatch.capacity import MAX_OPERATOR_CALLS
from ..protocols.operator_answers import HttpAnswer
from ..protocols.operator_http import OperatorConnection
from .host import NodeContext

# A caller may send a uid of several kilobytes: log lines truncate it to this many characters.
MAX_LOGGED_UID_LENGTH = 80


class AdminCallHandler(Protocol):
    """A subsystem that adds calls to the admin API."""

    def handle_admin_call(self, method: str, path: str, /) -> HttpAnswer | None:
        """Answer a call; None if the path does not belong to the subsystem."""


class AdminApi:
    """Serves the calls of the admin API.

    Attributes:
        connections: The open connections, in the order in which they were admitted.
    """

    def __init__(self, node: NodeContext) -> None:
        """Prepare the API; ``listen`` starts to serve calls."""
        self.node = node
        self.timer_wheel = node.dispatcher.timer_wheel
        self.connections: dict[OperatorConnection, None] = {}
        self.server: asyncio.Server | None = None
        self._call_handlers: list[AdminCallHandler] = []

    def add_call_handler(self, handler: AdminCallHandler) -> None:
        """Register a subsystem's calls; handlers are tried in the order of registration."""
        self._call_handlers.append(handler)

    async def listen(self, listener: socket.socket) -> None:
        """Serve calls on this bound socket."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: OperatorConnection(self), sock=listener)

    def close(self) -> None:
        """Stop listening and end all connections; answers in progress are still sent."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.answered:
                connection.close()
            else:
                connection.drop()

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
        """Disable an endpoint or enable it again; return False if the uid is unknown."""
        done = self.node.dispatcher.set_endpoint_disabled(uid, disabled)
        if done and self.node.peer_processes is not None:
            # The directive takes effect at the other process as well, so it is published before the
            # caller gets its answer.
            self.node.peer_processes.publish_status()
        action = "disable" if disabled else "enable"
        result = "done" if done else "is not known"
        self.log("operator", f"{action}: {uid[:MAX_LOGGED_UID_LENGTH]!r} {result}")
        return done

    def call_subsystem(self, method: str, path: str) -> HttpAnswer | None:
        """Return the answer of the subsystem that serves this path; None if there is none."""
        for handler in self._call_handlers:
            answer = handler.handle_admin_call(method, path)
            if answer is not None:
                return answer
        return None

    def admit(self, connection: OperatorConnection) -> None:
        """Admit a connection; at the limit another connection is evicted.

        Otherwise a flood of connections would use up the descriptors that are reserved for the
        admin API. A connection that has its answer is evicted first, else the oldest connection.
        """
        if len(self.connections) >= MAX_OPERATOR_CALLS:
            evicted = self._eviction_candidate()
            del self.connections[evicted]
            evicted.drop()
        self.connections[connection] = None

    def _eviction_candidate(self) -> OperatorConnection:
        for connection in self.connections:
            if connection.answered:
                return connection
        return next(iter(self.connections))

    def release(self, connection: OperatorConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.pop(connection, None)

    def log(self, kind: str, text: str) -> None:
        """Write a line to the node's log."""
        self.node.log(kind, text)
