"""The operators' address: what its calls do, and which connections it admits."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from ..dispatch.capacity import MAX_OPERATOR_CALLS
from ..protocols.operator_answers import HttpAnswer
from ..protocols.operator_http import OperatorConnection
from .host import NodeContext

# Characters of an endpoint's uid in a log line, since a caller may send kilobytes of it.
MAX_LOGGED_UID_LENGTH = 80


class AdminCallHandler(Protocol):
    """A subsystem with operators' calls of its own."""

    def handle_admin_call(self, method: str, path: str, /) -> HttpAnswer | None:
        """Answer a call; None where the path is not one of the subsystem's."""


class AdminApi:
    """Serves the operators' calls.

    Attributes:
        connections: The open connections, in the order in which they came.
    """

    def __init__(self, node: NodeContext) -> None:
        """Prepare the calls; ``listen`` opens the address."""
        self.node = node
        self.timer_wheel = node.dispatcher.timer_wheel
        self.connections: dict[OperatorConnection, None] = {}
        self.server: asyncio.Server | None = None
        self._call_handlers: list[AdminCallHandler] = []

    def add_call_handler(self, handler: AdminCallHandler) -> None:
        """Register a subsystem's calls; those registered before it are asked first."""
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
        """Disable an endpoint or enable it again; return False if the uid is unknown."""
        done = self.node.dispatcher.set_endpoint_disabled(uid, disabled)
        if done and self.node.peer_processes is not None:
            # Once the caller has its answer, the call holds at the other process as well.
            self.node.peer_processes.publish_status()
        action = "disable" if disabled else "enable"
        result = "done" if done else "is not known"
        self.log("operator", f"{action}: {uid[:MAX_LOGGED_UID_LENGTH]!r} {result}")
        return done

    def call_subsystem(self, method: str, path: str) -> HttpAnswer | None:
        """Return the answer of the subsystem that serves this path; None where none does."""
        for handler in self._call_handlers:
            answer = handler.handle_admin_call(method, path)
            if answer is not None:
                return answer
        return None

    def admit(self, connection: OperatorConnection) -> None:
        """Admit a connection; at the limit another one is evicted for it.

        A flood of connections would otherwise use up the descriptors that are reserved for calls.
        Evicted is a connection that has its answer, or else the oldest one.
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
        """Forget a connection that has ended."""
        self.connections.pop(connection, None)

    def log(self, kind: str, text: str) -> None:
        """Write a line to the node's log."""
        self.node.log(kind, text)
