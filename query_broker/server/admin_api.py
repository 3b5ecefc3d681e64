"""The second address: what the operators' calls do, and who may be on the line."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..dispatch.dispatcher import MOST_CALLERS
from ..protocols.operator_http import OperatorConnection
from .host import Host


class AdminApi:
    def __init__(self, node: Host) -> None:
        self.node = node
        self.wheel = node.dispatcher.wheel
        self.callers: dict[OperatorConnection, None] = {}  # in the order in which they came
        self.server: asyncio.Server | None = None
        # of other subsystems
        self.calls: list[Callable[[str, str], tuple[int, bytes, str, str] | None]] = []

    async def listen(self, listener: socket.socket) -> None:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: OperatorConnection(self), sock=listener
        )

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.close() if caller.answered else caller.drop()

    # --- from the connections ---

    def now(self) -> int:
        return self.node.clock.now()

    def ready(self) -> bool:
        return self.node.ready()

    def metrics(self) -> bytes:
        return self.node.dispatcher.metrics()

    def set_engine(self, uid: str, out: bool) -> bool:
        done = self.node.dispatcher.set_endpoint_disabled(uid, out)
        if done and self.node.peer_processes is not None:
            # danger: after the yes it holds, also where a request went elsewhere
            self.node.peer_processes.tell()
        self.log(
            "operator",
            f"{'out' if out else 'back'}: {uid[:80]!r} {'done' if done else 'is not known'}",
        )
        return done

    def other(self, method: str, path: str) -> tuple[int, bytes, str, str] | None:
        return next((said for call in self.calls if (said := call(method, path)) is not None), None)

    def came(self, caller: OperatorConnection) -> None:
        """Danger: a flood of callers takes the descriptors that are kept for calls: the newcomer
        takes the place of one that has its answer, else of the one that has been silent longest.
        """
        if len(self.callers) >= MOST_CALLERS:
            victim = next((c for c in self.callers if c.answered), next(iter(self.callers)))
            del self.callers[victim]
            victim.drop()
        self.callers[caller] = None

    def went(self, caller: OperatorConnection) -> None:
        self.callers.pop(caller, None)

    def log(self, kind: str, text: str) -> None:
        self.node.log(kind, text)
