"""The periodic work of a node: the dispatcher's tick, the endpoint watch and the sweep."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, Protocol

from ..discovery.watch_client import WatchClient
from .client_admission import ClientAdmission
from .host import NodeContext

NS_PER_MS = 1_000_000
MS_PER_S = 1_000
# Time between two sweeps of idle connections and slow readers. It is short compared to their
# timeouts, which are seconds.
SWEEP_PERIOD_NS = 250_000_000
# A tick is logged as late if it runs later than due by more than this plus one tick period. Such a
# delay means that the event loop was blocked or that the process had too little processor time.
MAX_LAG_NS = 100_000_000
# A signal that is handled within this time after a stall may have come during the stall: the loop
# runs the late tick first, then the signal handlers in the same iteration.
SIGNAL_DELAY_NS = 100_000_000


class Stall(NamedTuple):
    """A period in which the event loop did not run.

    Attributes:
        began_ns: The time of the last tick before it.
        ended_ns: The time of the first tick after it.
    """

    began_ns: int
    ended_ns: int


class TickingNode(NodeContext, Protocol):
    """The part of a node that the tick loop needs."""

    max_tick_interval_ns: int  # the longest time between two ticks if no timer is due

    @property
    def watch_client(self) -> WatchClient | None:
        """The client of the discovery service, once one is configured."""

    @property
    def admission(self) -> ClientAdmission:
        """The client connections."""

    def after_tick(self) -> None:
        """Do the periodic work of subsystems."""


class TickLoop:
    """Runs the periodic work whenever a timer of the dispatcher's wheel is due.

    An idle broker ticks every ``max_tick_interval_ns``; an earlier timer brings the tick forward.
    """

    def __init__(self, node: TickingNode) -> None:
        """Prepare the loop; ``start`` runs the first tick."""
        self.node = node
        self._next_tick: asyncio.TimerHandle | None = None  # None during a tick
        now_ns = node.clock.now()
        self._due_ns = now_ns  # when the next tick is due
        self._last_tick_ns = now_ns
        self._last_stall = Stall(began_ns=0, ended_ns=0)
        self._last_sweep_ns = now_ns

    def start(self) -> None:
        """Run the first tick; must be called on the running event loop."""
        now_ns = self.node.clock.now()
        self._due_ns = now_ns
        self._last_tick_ns = now_ns
        self._last_sweep_ns = now_ns
        self.node.dispatcher.timer_wheel.set_owner(self)
        self._tick()

    def _tick(self) -> None:
        now_ns = self.node.clock.now()
        self._detect_stall(now_ns)
        self._last_tick_ns = now_ns
        self._next_tick = None
        try:
            self._run_due_work(now_ns)
        finally:
            now_ns = self.node.clock.now()
            delay_ns = self.node.dispatcher.timer_wheel.idle_ns(
                now_ns, self.node.max_tick_interval_ns
            )
            self._schedule(delay_ns, now_ns)
        # The next tick is already scheduled, so that a timer set here can bring it forward.
        self.node.after_tick()

    def earliest_signal_ns(self, now_ns: int) -> int:
        """Return the earliest time at which a signal that is handled now may have been sent.

        A stopped process handles a signal only once it runs again, but the sender measures its
        timeouts from the moment of sending.
        """
        stall = self._last_stall
        return stall.began_ns if now_ns - stall.ended_ns <= SIGNAL_DELAY_NS else now_ns

    def _detect_stall(self, now_ns: int) -> None:
        late_ns = now_ns - self._due_ns
        if late_ns > self.node.config.settings.tick_ns + MAX_LAG_NS:
            self._last_stall = Stall(began_ns=self._last_tick_ns, ended_ns=now_ns)
            self.node.log("lag", f"the event loop was blocked for {late_ns / NS_PER_MS:.0f} ms")

    def _run_due_work(self, now_ns: int) -> None:
        self.node.dispatcher.tick()
        if self.node.watch_client is not None:
            self.node.watch_client.reconnect_if_silent(now_ns)
        if now_ns - self._last_sweep_ns > SWEEP_PERIOD_NS:
            self._last_sweep_ns = now_ns
            self.node.dispatcher.pools.sweep(now_ns)
            self.node.admission.close_slow_readers(now_ns)

    def _schedule(self, delay_ns: int, now_ns: int) -> None:
        self._due_ns = now_ns + delay_ns
        # The event loop's timers have a resolution of one millisecond: rounding up keeps a tick
        # from firing early.
        delay_ms = -(-delay_ns // NS_PER_MS)
        loop = asyncio.get_running_loop()
        self._next_tick = loop.call_later(delay_ms / MS_PER_S, self._tick)

    def wake(self) -> None:
        """Bring the next tick forward, since a timer is due before it."""
        if self._next_tick is None:
            return
        self._next_tick.cancel()
        now_ns = self.node.clock.now()
        self._schedule(self.node.dispatcher.timer_wheel.ns_until_wake(now_ns), now_ns)
