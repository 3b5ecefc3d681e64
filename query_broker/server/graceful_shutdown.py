"""Graceful shutdown after SIGTERM, as a sequence of timed steps.

1. ``begin``: starts the grace period, in which nothing changes for clients. It is skipped if
   another process accepts connections.
2. ``_announce_leaving``: closes the listener and asks the clients to send no new requests.
3. ``_await_requests``: waits for the requests in flight; at ``close_out_after_s`` all open ones get
   a final answer.
4. ``_end_connections``: closes this side of each connection.
5. ``_await_disconnects``: waits until the clients close their side, then stops the node.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from ..protocols.socket_state import has_input
from .host import NodeContext
from .running_time import RunningTime

# After SIGTERM, clients are sent here for up to 0.4 s more, and the first request on a new
# connection comes up to 0.2 s after it. Until then nothing changes.
GRACE_PERIOD_S = 0.65
# If another process accepts connections: time after SIGTERM in which requests on open connections
# are still expected.
HANDOVER_LINGER_S = 0.7
# Time after the announcement in which a client that has not received it yet may send a request.
LINGER_S = 0.1
# Extra time for connections that the system has accepted and the event loop has not processed yet.
ACCEPT_QUEUE_TIMEOUT_NS = 50_000_000
# One iteration of the event loop counts at most this much towards that timeout, so that the loop
# checks the queue at least ten times.
MAX_ACCEPT_STEP_NS = 5_000_000
# The platform waits at most this long for the longest deadline of a request class before SIGKILL.
MAX_DEADLINE_S = 3.0
# The same if the platform holds the clients' socket: it waits longer for a handover.
MAX_DEADLINE_INHERITED_S = 5.0
# SIGKILL comes at least this long after the longest deadline.
KILL_DELAY_S = 0.7
# All open requests get a final answer this long before SIGKILL: enough to send the answers, close
# the connections and tolerate a late event loop.
CLOSE_OUT_MARGIN_S = 0.4
# Time for sending the final answers of the close-out.
FLUSH_TIMEOUT_NS = 250_000_000
# The time between two checks counts at most this much towards the flush timeout, so that a stall
# leaves the loop several iterations to send the answers.
MAX_FLUSH_STEP_NS = 50_000_000
# Once this side of the connections is closed, the node waits at most this long for clients to close
# theirs.
DISCONNECT_TIMEOUT_NS = 100_000_000
# The time between two checks counts at most this much towards the disconnect timeout.
MAX_DISCONNECT_STEP_NS = 25_000_000
# Time between two checks for completion; short compared to each timeout above.
CHECK_PERIOD_S = 0.01
NS_PER_S = 1_000_000_000


class GracefulShutdown:
    """Shuts a node down after SIGTERM.

    Attributes:
        started_at_ns: When SIGTERM came, in Unix nanoseconds; 0 before that. If it may have come
            during a stall of this process, the beginning of the stall, since the time until SIGKILL
            may run from then.
        closed_out: Whether the requests that were open at ``close_out_after_s`` have been given a
            final answer.
    """

    def __init__(self, node: NodeContext) -> None:
        """Prepare the shutdown; ``begin`` starts it."""
        self.node = node
        self.started_at_ns = 0
        self.closed_out = False
        self._accept_time: RunningTime | None = None  # since the end of the grace period
        self._flush_time: RunningTime | None = None  # since the close-out

    @property
    def started(self) -> bool:
        """Whether SIGTERM has come."""
        return self.started_at_ns != 0

    @property
    def close_out_after_s(self) -> float:
        """Seconds after SIGTERM at which all open requests get a final answer."""
        config = self.node.config
        inherited = config.accept_fd is not None
        limit_s = MAX_DEADLINE_INHERITED_S if inherited else MAX_DEADLINE_S
        deadline_s = max(spec.deadline_ns for spec in config.settings.classes) / NS_PER_S
        return min(deadline_s, limit_s) + KILL_DELAY_S - CLOSE_OUT_MARGIN_S

    def begin(self) -> None:
        """Start the shutdown at SIGTERM; further signals have no effect."""
        if self.started:
            return
        now_ns = self.node.clock.now()
        self.started_at_ns = self.node.earliest_signal_ns(now_ns)
        peer_processes = self.node.peer_processes
        if peer_processes is not None:
            peer_processes.poll()
        if peer_processes is not None and peer_processes.has_successor():
            self.node.log("stop", "SIGTERM: another process accepts new clients, draining")
            self._announce_leaving(HANDOVER_LINGER_S)
        else:
            self.node.log("stop", "SIGTERM: still serving, then draining")
            _call_later(self._grace_period_s(now_ns), self._announce_leaving)

    def _grace_period_s(self, now_ns: int) -> float:
        """Return the seconds that are left of the grace period.

        If SIGTERM may have come during a stall, less time is left until the close-out.
        """
        if self.started_at_ns == now_ns:
            return GRACE_PERIOD_S
        elapsed_s = (now_ns - self.started_at_ns) / NS_PER_S
        return min(GRACE_PERIOD_S, max(0.0, self.close_out_after_s - LINGER_S - elapsed_s))

    def _announce_leaving(self, linger_s: float = LINGER_S) -> None:
        """Close the listener once its queue is empty, then ask the clients to leave.

        Closing the listener at once would refuse clients that are still sent here, and reset the
        connections that the system has accepted and the event loop has not processed yet.
        """
        node = self.node
        if self._accept_time is None:
            self._accept_time = RunningTime(node.clock, MAX_ACCEPT_STEP_NS)
        if node.server is not None:
            if self._has_queued_connections(node.server, self._accept_time):
                asyncio.get_running_loop().call_soon(self._announce_leaving, linger_s)
                return
            node.server.close()
        node.closing_announced = True
        if node.peer_processes is not None:
            node.peer_processes.accepting = False
            node.peer_processes.publish_status()
        for client in list(node.clients):
            client.announce_shutdown()
        _call_later(linger_s, self._await_requests)

    def _has_queued_connections(self, server: asyncio.Server, accept_time: RunningTime) -> bool:
        """Whether connections wait in the accept queue that no other process would accept.

        The timeout bounds how long a flood of new connections keeps the listener open. It is
        measured in running time: by wall-clock time a stall would use it up before the loop had
        accepted any of the waiting connections, and they would be reset.
        """
        if self.node.config.accept_fd is not None:
            return False
        if accept_time.elapsed_ns() >= ACCEPT_QUEUE_TIMEOUT_NS:
            return False
        return any(has_input(listener.fileno()) for listener in server.sockets)

    def _await_requests(self) -> None:
        """Wait until nothing is in flight; when the time is up, close out the open requests."""
        if self._is_idle() or self._flush_timed_out():
            self._end_connections()
            return
        elapsed_s = (self.node.clock.now() - self.started_at_ns) / NS_PER_S
        if elapsed_s >= self.close_out_after_s and not self.closed_out:
            self._close_out()
        _call_later(CHECK_PERIOD_S, self._await_requests)

    def _close_out(self) -> None:
        """Give all open requests a final answer, before SIGKILL ends them without one."""
        self.closed_out = True
        self.node.log("stop", f"ending {len(self.node.dispatcher.requests)} open requests")
        self.node.dispatcher.cancellations.close_out_all()
        self._flush_time = RunningTime(self.node.clock, MAX_FLUSH_STEP_NS)

    def _flush_timed_out(self) -> bool:
        """Whether the time for sending the answers of the close-out is up.

        The time begins with the close-out, not at a fixed time after SIGTERM: otherwise a process
        that stalls until after both would close the connections without sending any answer.
        """
        if self._flush_time is None:
            return False
        return self._flush_time.elapsed_ns() >= FLUSH_TIMEOUT_NS

    def _is_idle(self) -> bool:
        """Whether every answer has been sent and no request is pending, not even a part of one.

        A partly read request would be lost with its connection, and so would an unread one: after a
        stall the loop runs overdue timers before it polls the sockets.
        """
        if self.node.partial_frame_bytes:
            return False
        return all(client.idle() and not client.has_unread_input() for client in self.node.clients)

    def _end_connections(self) -> None:
        """Close this side of each connection, and read what the client still sends.

        A request that is still dispatched now would be lost with the process. Closing a connection
        with unread bytes would reset it, and the client would lose the answers it has not read yet.
        """
        self.node.dispatcher.request_table.closing = True
        for client in list(self.node.clients):
            client.close_gracefully()
        self._await_disconnects(RunningTime(self.node.clock, MAX_DISCONNECT_STEP_NS))

    def _await_disconnects(self, disconnect_time: RunningTime) -> None:
        """Stop the node once the clients have closed their side, or when the time is up.

        The timeout is measured in running time: input that came before a stall has to be read
        before the node stops, or the connection is reset and its last answers are lost.
        """
        if self.node.clients and disconnect_time.elapsed_ns() < DISCONNECT_TIMEOUT_NS:
            _call_later(CHECK_PERIOD_S, partial(self._await_disconnects, disconnect_time))
        else:
            self.node.stop()


def _call_later(delay_s: float, step: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(delay_s, step)
