"""Graceful shutdown after SIGTERM, as a sequence of timed steps.

1. ``begin``: the grace period, in which nothing changes for clients. It is left out where another
   process accepts connections.
2. ``_announce_leaving``: the listener is closed and clients are asked to send no new requests.
3. ``_await_requests``: requests in flight are awaited; at ``close_out_after_s`` all open ones get a
   final answer.
4. ``_end_connections``: this side of each connection ends.
5. ``_await_disconnects``: the clients end theirs, and the node stops.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from ..protocols.socket_state import has_input
from .host import NodeContext
from .running_time import RunningTime

# Seconds after SIGTERM in which nothing changes: new connections come for 0.4 s more, and their
# first requests up to 0.2 s later.
GRACE_PERIOD_S = 0.65
# Seconds after SIGTERM, where another process accepts connections, in which requests on open
# connections are awaited.
HANDOVER_LINGER_S = 0.7
# Seconds after clients were asked to leave in which a request that crossed the message may come.
LINGER_S = 0.1
# More time, for the connections that the system has accepted and the event loop has not processed.
ACCEPT_QUEUE_TIMEOUT_NS = 50_000_000
# The most that one turn of the event loop counts of that time: the loop then looks at the queue ten
# times at the least.
MAX_ACCEPT_TURN_NS = 5_000_000
# The longest deadline of a request class counts up to this: the platform's SIGKILL waits no longer.
MAX_DEADLINE_S = 3.0
# The same where the platform holds the clients' socket: it waits longer for a handover.
MAX_DEADLINE_INHERITED_S = 5.0
# SIGKILL comes this long after the longest deadline, at the soonest.
KILL_DELAY_S = 0.7
# Everything open is closed out this long before SIGKILL: enough for the last answers, the end of
# the connections and a loop that is late.
CLOSE_OUT_MARGIN_S = 0.4
# Time in which the answers of the close-out may leave.
FLUSH_TIMEOUT_NS = 250_000_000
# The most that the time between two checks counts of it: a stall must leave the answers some turns.
MAX_FLUSH_STEP_NS = 50_000_000
# Time in which the clients end their side of a connection once this one has ended; the node does
# not wait longer for a client that stays.
DISCONNECT_TIMEOUT_NS = 100_000_000
# The most that the time between two checks counts of it.
MAX_DISCONNECT_STEP_NS = 25_000_000
# Time between two checks of whether all is done; short compared to every timeout above.
CHECK_PERIOD_S = 0.01
NS_PER_S = 1_000_000_000


class GracefulShutdown:
    """Takes a node from SIGTERM to its stop.

    Attributes:
        begun_at_ns: When SIGTERM came, in Unix nanoseconds; 0 before that. Where it may have come
            during a stall of this process, the beginning of the stall: SIGKILL counts from then.
        closed_out: The requests that were open at ``close_out_after_s`` got a final answer.
    """

    def __init__(self, node: NodeContext) -> None:
        """Prepare the shutdown; ``begin`` starts it."""
        self.node = node
        self.begun_at_ns = 0
        self.closed_out = False
        self._accept_time: RunningTime | None = None  # since the listener was to be closed
        self._flush_time: RunningTime | None = None  # since the close-out

    @property
    def begun(self) -> bool:
        """SIGTERM has come."""
        return self.begun_at_ns != 0

    @property
    def close_out_after_s(self) -> float:
        """Seconds after SIGTERM at which everything open is closed out."""
        config = self.node.config
        inherited = config.accept_fd is not None
        limit_s = MAX_DEADLINE_INHERITED_S if inherited else MAX_DEADLINE_S
        deadline_s = max(spec.deadline_ns for spec in config.settings.classes) / NS_PER_S
        return min(deadline_s, limit_s) + KILL_DELAY_S - CLOSE_OUT_MARGIN_S

    def begin(self) -> None:
        """Start the shutdown at SIGTERM; further signals change nothing."""
        if self.begun:
            return
        now_ns = self.node.clock.now()
        self.begun_at_ns = self.node.earliest_signal_ns(now_ns)
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
        """Return the seconds from now in which nothing changes.

        After a stall during which SIGTERM may have come, less time is left until the close-out.
        """
        if self.begun_at_ns == now_ns:
            return GRACE_PERIOD_S
        elapsed_s = (now_ns - self.begun_at_ns) / NS_PER_S
        return min(GRACE_PERIOD_S, max(0.0, self.close_out_after_s - LINGER_S - elapsed_s))

    def _announce_leaving(self, linger_s: float = LINGER_S) -> None:
        """Close the listener once its queue is empty, then ask the clients to leave.

        To close it at once would break connections that clients are still sent here for, and reset
        those that the system has accepted and the event loop has not processed yet.
        """
        node = self.node
        if self._accept_time is None:
            self._accept_time = RunningTime(node.clock, MAX_ACCEPT_TURN_NS)
        if node.server is not None:
            if self._accept_queue_filled(node.server, self._accept_time):
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

    def _accept_queue_filled(self, server: asyncio.Server, accept_time: RunningTime) -> bool:
        """Whether connections wait to be accepted that no other process would take.

        The timeout bounds how long a crowd of new connections keeps the listener open. It counts
        the turns of the loop: by the clock alone a stall would use it up before the loop had
        accepted any of the connections that wait, and these would be reset.
        """
        if self.node.config.accept_fd is not None:
            return False
        if accept_time.elapsed_ns() >= ACCEPT_QUEUE_TIMEOUT_NS:
            return False
        return any(has_input(listener.fileno()) for listener in server.sockets)

    def _await_requests(self) -> None:
        """Wait until nothing is in flight; close out what is open when the time is up."""
        if self._is_idle() or self._flush_timed_out():
            self._end_connections()
            return
        elapsed_s = (self.node.clock.now() - self.begun_at_ns) / NS_PER_S
        if elapsed_s >= self.close_out_after_s and not self.closed_out:
            self._close_out()
        _call_later(CHECK_PERIOD_S, self._await_requests)

    def _close_out(self) -> None:
        """Give all requests their final answer: SIGKILL would end them without any."""
        self.closed_out = True
        self.node.log("stop", f"closing out {len(self.node.dispatcher.requests)} requests")
        self.node.dispatcher.cancellations.close_out_all()
        self._flush_time = RunningTime(self.node.clock, MAX_FLUSH_STEP_NS)

    def _flush_timed_out(self) -> bool:
        """Whether the answers of the close-out have had their time to leave.

        It begins with the close-out, not at a fixed time after SIGTERM: a process that stood still
        over both would end the connections without any answer.
        """
        if self._flush_time is None:
            return False
        return self._flush_time.elapsed_ns() >= FLUSH_TIMEOUT_NS

    def _is_idle(self) -> bool:
        """Whether every answer has been sent and no request has come, in full or in part.

        A request that is read in part would be lost with its connection, and so would one that has
        not been read: after a stall a timer is due before the loop comes to the sockets.
        """
        if self.node.partial_frame_bytes:
            return False
        return all(client.idle() and not client.has_unread_input() for client in self.node.clients)

    def _end_connections(self) -> None:
        """End this side of each connection, and read the other side to its end.

        A request that is read now and dispatched would be lost with the process. To close over
        unread bytes resets the connection, and takes what the client has not read yet with it.
        """
        self.node.dispatcher.request_table.closing = True
        for client in list(self.node.clients):
            client.close_gracefully()
        self._await_disconnects(RunningTime(self.node.clock, MAX_DISCONNECT_STEP_NS))

    def _await_disconnects(self, waited: RunningTime) -> None:
        """Stop the node once the clients have ended their side, or when the time is up.

        The time counts the turns of the loop: what a client had sent before a stall has to be read
        before the node stops, or the connection is reset, and its last answers with it.
        """
        if self.node.clients and waited.elapsed_ns() < DISCONNECT_TIMEOUT_NS:
            _call_later(CHECK_PERIOD_S, partial(self._await_disconnects, waited))
        else:
            self.node.stop()


def _call_later(delay_s: float, step: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(delay_s, step)
