"""Stop: the planned end after SIGTERM."""

from __future__ import annotations

import asyncio

from ..protocols.socket_state import has_input
from .host import Host

GO_ON = 0.65  # s after SIGTERM in which nothing changes: clients come for 0.4 s, ask for 0.2 s more
# s after SIGTERM beside a successor in which requests on open connections are waited for
HANDED_OVER = 0.7
QUEUE = 0.05  # s more in which the listener's queue is emptied
LINGER = 0.1  # s after the word to leave in which a request that crossed it may still come
LONGEST = 3.0  # s; the longest deadline counts as this where it is longer
LONGEST_HELD = 5.0  # the same where the platform holds the clients' socket
KILL = 0.7  # s that a SIGKILL comes after that, at the soonest
MARGIN = 0.4  # s before the SIGKILL: everything open is closed out
FLUSH = 0.25  # s in which the last answers may leave
READ_OFF = 0.1  # s in which the clients end their side once we have ended ours
LOOK = 0.01  # s between looks whether all is done
S = 1_000_000_000


class GracefulShutdown:
    def __init__(self, node: Host) -> None:
        self.node = node
        self.begun_at = 0
        self.closed_out = False
        self.leave_at = 0
        self.shut_at = 0  # since when nothing that is read is sent on

    @property
    def last(self) -> float:
        """Seconds after SIGTERM at which everything open is closed out."""
        config = self.node.config
        deadline = max(c.deadline_ns for c in config.settings.classes) / 1e9
        return min(deadline, LONGEST if config.accept_fd is None else LONGEST_HELD) + KILL - MARGIN

    def begin(self) -> None:
        if self.begun_at:
            return
        self.begun_at = self.node.clock.now()
        self.loop = asyncio.get_running_loop()
        siblings = self.node.peer_processes
        if siblings is not None:
            siblings.poll()
        if siblings is not None and siblings.successor():
            self.node.log("stop", "SIGTERM: another process takes what comes, draining")
            self._leave(HANDED_OVER)
        else:
            self.node.log("stop", "SIGTERM: going on, then draining")
            self.loop.call_later(GO_ON, self._leave)

    def _leave(self, linger: float = LINGER) -> None:
        """Danger: to close at once would break connections that the front still hands us, and reset
        those that the system has accepted and the loop has not come to.
        """
        node = self.node
        self.leave_at = self.leave_at or node.clock.now()
        if node.server is not None:
            if (
                node.config.accept_fd is None
                and node.clock.now() - self.leave_at < QUEUE * S
                and any(has_input(listener.fileno()) for listener in node.server.sockets)
            ):
                self.loop.call_soon(self._leave, linger)
                return
            node.server.close()
        node.closing_announced = True
        if node.peer_processes is not None:
            node.peer_processes.accepting = False
            node.peer_processes.tell()
        for client in list(node.clients):
            client.leave_off()
        self.loop.call_later(linger, self._look)

    def _look(self) -> None:
        passed = (self.node.clock.now() - self.begun_at) / S
        # Danger: a request of which a part is here would be cut off with the connection.
        if (self.node.idle() and not self.node.partial) or passed > self.last + FLUSH:
            self._shut()
            return
        if passed >= self.last and not self.closed_out:
            # Danger: SIGKILL would take what is open with it; a final answer now is better than
            # none.
            self.closed_out = True
            self.node.log("stop", f"closing out {len(self.node.dispatcher.requests)} requests")
            self.node.dispatcher.close_out_all()
        self.loop.call_later(LOOK, self._look)

    def _shut(self) -> None:
        """Danger: a request that is read now and sent on would be lost with the process, and a
        close over unread bytes takes with it what the client has not read yet: our side ends first,
        theirs is read off.
        """
        self.shut_at = self.node.clock.now()
        self.node.dispatcher.closing = True
        for client in list(self.node.clients):
            client.shut()
        self._end()

    def _end(self) -> None:
        if self.node.clients and self.node.clock.now() - self.shut_at < READ_OFF * S:
            self.loop.call_later(LOOK, self._end)
        else:
            self.node.stop()
