"""One face for many decision modules: a facade a cell, behind the words of
`query_broker.decisions.facade`.

A request belongs to one room from its arrival to its end. An engine belongs to one room at a time;
where it changes rooms while attempts are out on it, the old room gets their outcomes, and what it
still has out there counts in the new room as another process's work does.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import replace

from ..decisions.facade import (
    AdministrativeChange,
    AttemptEnded,
    CloseRequests,
    CoProcessLoad,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    Facade,
    HealthCheckResult,
    ListUpdateKind,
    OrderBatch,
    OutstandingWork,
    RequestAbandoned,
    RequestArrived,
    SettingsChanged,
)
from ..decisions.settings import Settings
from ..timer_wheel import TimerWheel
from .migrations import Fleet
from .model import CellMap
from .placement import Change, Placement, Seen

News = (
    AttemptEnded
    | HealthCheckResult
    | RequestAbandoned
    | EndpointListUpdate
    | AdministrativeChange
    | CoProcessLoad
    | SettingsChanged
    | CloseRequests
)
NOTHING = OutstandingWork(0, 0, 0)


class CellFacade(Facade):
    """One cell's decisions. Timers of all rooms fall due in one line, in the wheel's order."""

    def __init__(self, hall: CellRouter, cell: str, seed: int, now: int) -> None:
        self.hall, self.cell = hall, cell
        self.engines: set[int] = set()
        self.open = 0
        self.dissolved = False
        super().__init__(hall.settings, seed, now, hall.wheel)

    def _fired(self, token: int) -> Callable[[], None]:
        return lambda: self._due(token)

    def _due(self, token: int) -> None:
        if not self.dissolved:
            self.due.append(token)
            self.hall.due.append(self)


class CellRouter:
    """``uid_of``: the uid of a number of the engine table. ``home``: the cell of a subject at this
    time.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        now: int,
        wheel: TimerWheel,
        map: CellMap,
        uid_of: Callable[[int], str],
    ) -> None:
        self.settings, self.seed, self.wheel, self.map, self.uid_of = (
            settings,
            seed,
            wheel,
            map,
            uid_of,
        )
        self.due: deque[CellFacade] = deque()
        self.facades: dict[str, CellFacade] = {}
        # of each open request: its room and its subject
        self.requests: dict[str, tuple[CellFacade, str]] = {}
        self.open: Counter[tuple[str, str]] = Counter()  # open requests by subject and cell
        self.placement = Placement(map)
        self.entries: dict[int, EndpointEntry] = {}
        self.numbers: dict[str, int] = {}
        self.bans: dict[int, AdministrativeChange] = {}
        self.beside = CoProcessLoad({}, 1)
        # sent to cold engines by their former room
        self.carried: dict[int, tuple[OutstandingWork, int]] = {}
        self.left_over: set[int] = set()  # engines on which a former room has something out
        self.cold_until: dict[int, int] = {}
        # subject and cell of the request that is being taken
        self.assigned: tuple[str, str] | None = None
        for cell in map.cells:
            self._furnish(cell.name, now)

    def _furnish(self, cell: str, now: int) -> CellFacade:
        seed = int.from_bytes(f"{self.seed:x}/{cell}".encode(), "big")
        room = self.facades[cell] = CellFacade(self, cell, seed, now)
        for ban in self.bans.values():
            room.report(now, ban)
        room.report(now, CoProcessLoad({}, self.beside.accepting_processes))
        return room

    # --- requests ---

    def pick(self, now: int, query: RequestArrived) -> OrderBatch:
        """Danger: the cell was chosen when the request was given its part of the room; to choose
        again here could give it another one.
        """
        assert self.assigned is not None, "a request without a cell"
        (subject, cell), self.assigned = self.assigned, None
        room = self.facades[cell]
        self.requests[query.request_id] = room, subject
        room.open += 1
        self.open[subject, cell] += 1
        return room.pick(now, query)

    def forget(self, request: str) -> None:
        if (place := self.requests.pop(request, None)) is None:
            return
        room, subject = place
        room.forget(request)
        room.open -= 1
        self.open[subject, room.cell] -= 1
        if not self.open[subject, room.cell]:
            del self.open[subject, room.cell]
        self._dissolve(room)

    def _dissolve(self, room: CellFacade) -> None:
        """A cell that the map has dropped ends with its last request."""
        if (
            not room.open
            and self.map.cell(room.cell) is None
            and self.facades.get(room.cell) is room
        ):
            room.dissolved = True
            del self.facades[room.cell]

    def requests_of(self, subject: str, cell: str) -> frozenset[str]:
        return frozenset(
            id
            for id, (room, whose) in self.requests.items()
            if room.cell == cell and whose == subject
        )

    def tick(self, now: int) -> OrderBatch:
        return self.due.popleft().tick(now)

    # --- what happens ---

    def report(self, now: int, news: News) -> OrderBatch:
        match news:
            case AttemptEnded() | RequestAbandoned():
                if (place := self.requests.get(news.request_id)) is None:
                    return OrderBatch()
                orders = place[0].report(now, news)
                if isinstance(news, AttemptEnded) and news.endpoint in self.left_over:
                    self._tell_beside(now, orders)
                return orders
            case HealthCheckResult(engine):
                room = self._room_of(engine)
                return room.report(now, news) if room is not None else OrderBatch()
            case EndpointListUpdate(kind, entries):
                return self._engine_news(now, kind is ListUpdateKind.FULL, entries)
            case AdministrativeChange(engine, out, at):
                if out:
                    self.bans[engine] = news
                else:  # a room that gets it later must know that it is cold
                    self.bans.pop(engine, None)
                    self.cold_until[engine] = at
                return self._all(now, news)
            case CoProcessLoad():
                self.beside = news
                orders = OrderBatch()
                self._tell_beside(now, orders)
                return orders
            case SettingsChanged(settings):
                self.settings = settings
                return self._all(now, news)
            case CloseRequests(only):
                if only is None:
                    return self._all(now, news)
                rooms = {self.requests[id][0].cell for id in only if id in self.requests}
                return self._all(now, news, sorted(rooms))

    def _all(self, now: int, news: News, cells: Iterable[str] | None = None) -> OrderBatch:
        orders = OrderBatch()
        for cell in list(self.facades) if cells is None else cells:
            _add(orders, self.facades[cell].report(now, news))
        return orders

    # --- engines ---

    def _room_of(self, engine: int) -> CellFacade | None:
        return next((room for room in self.facades.values() if engine in room.engines), None)

    def cell_of(self, engine: int) -> str | None:
        """The cell of an engine; of one that has gone, the last that had something out there."""
        if (entry := self.entries.get(engine)) is not None:
            return self.placement.seat_of(self.uid_of(entry.endpoint))
        return next((r.cell for r in self.facades.values() if engine in r.controller.engines), None)

    def _engine_news(self, now: int, full: bool, entries: tuple[EndpointEntry, ...]) -> OrderBatch:
        """Seats first, then each room hears of its own engines alone."""
        told = {e.endpoint for e in entries}
        gone = [e.endpoint for e in entries if e.state is EndpointState.REMOVED]
        if full:
            gone += [number for number in self.entries if number not in told]
        uids = {number: uid for uid, number in self.numbers.items()}
        present = [e for e in entries if e.state is not EndpointState.REMOVED]
        for entry in present:
            self.numbers[self.uid_of(entry.endpoint)] = entry.endpoint
            self.entries[entry.endpoint] = entry
        changes = self.placement.learn(
            [
                Seen(self.uid_of(e.endpoint), e.zone, e.kind, e.state is EndpointState.READY)
                for e in present
            ],
            [uids[number] for number in gone if number in uids],
        )
        orders = OrderBatch()
        left = [e for e in entries if e.state is EndpointState.REMOVED]
        left += [
            replace(self.entries[n], state=EndpointState.REMOVED)
            for n in gone
            if n not in told and n in self.entries
        ]
        for entry in left:
            self.entries.pop(entry.endpoint, None)
            self.cold_until.pop(entry.endpoint, None)
            if (uid := uids.get(entry.endpoint)) is not None:
                del self.numbers[uid]
            if (room := self._room_of(entry.endpoint)) is not None:
                room.engines.discard(entry.endpoint)
                _add(orders, room.report(now, EndpointListUpdate(ListUpdateKind.CHANGES, (entry,))))
        self._reseat(now, changes, orders)
        moved = {self.numbers[c.uid] for c in changes if c.uid in self.numbers}
        for room in list(self.facades.values()):
            mine = tuple(
                e for e in present if e.endpoint in room.engines and e.endpoint not in moved
            )
            if mine:
                _add(orders, room.report(now, EndpointListUpdate(ListUpdateKind.CHANGES, mine)))
        self._tell_beside(now, orders)
        return orders

    def _reseat(self, now: int, changes: Iterable[Change], orders: OrderBatch) -> None:
        """Danger: an engine in two rooms gets two bounds' worth of work: it leaves the one first.
        What the one sent it while it was cold counts in the other, or it would be pushed over.
        """
        for change in changes:
            if (number := self.numbers.get(change.uid)) is None:
                continue
            entry = self.entries[number]
            before = self.facades.get(change.before or "")
            if before is not None and number in before.engines:
                out = before.outstanding(now).get(number, NOTHING)
                before.engines.discard(number)
                _add(
                    orders,
                    before.report(
                        now,
                        EndpointListUpdate(
                            ListUpdateKind.CHANGES, (replace(entry, state=EndpointState.REMOVED),)
                        ),
                    ),
                )
                self.left_over.add(number)
                if out.warmup_ns:
                    earlier = self.carried.get(number, (NOTHING, 0))[0].warmup_ns
                    self.carried[number] = (
                        OutstandingWork(0, 0, earlier + out.warmup_ns),
                        now + self.settings.contract.overload_window_ns,
                    )
            after = self.facades.get(change.after or "")
            if after is not None:
                after.engines.add(number)
                started = max(entry.started_ns, self.cold_until.get(number, 0))
                _add(
                    orders,
                    after.report(
                        now,
                        EndpointListUpdate(
                            ListUpdateKind.CHANGES, (replace(entry, started_ns=started),)
                        ),
                    ),
                )

    def _tell_beside(self, now: int, orders: OrderBatch) -> None:
        """Every room hears what others have out on its engines: other processes, and former
        rooms.
        """
        theirs: dict[int, OutstandingWork] = {}
        for number in list(self.left_over):
            owner = self._room_of(number)
            total = NOTHING
            for room in self.facades.values():
                if room is not owner and number in room.controller.engines:
                    total = _sum(total, room.outstanding(now).get(number, NOTHING))
            carried, until = self.carried.get(number, (NOTHING, 0))
            if now < until:
                # What the former room still has on its books of cold sends is the same work.
                total = OutstandingWork(
                    total.threads, total.backlog_ns, max(total.warmup_ns, carried.warmup_ns)
                )
            else:
                self.carried.pop(number, None)
            if total == NOTHING:
                self.left_over.discard(number)
            else:
                theirs[number] = total
        for room in self.facades.values():
            out = {n: o for n, o in self.beside.outstanding.items() if n in room.engines}
            for number in theirs.keys() & room.engines:
                out[number] = _sum(out.get(number, NOTHING), theirs[number])
            _add(orders, room.report(now, CoProcessLoad(out, self.beside.accepting_processes)))

    def fade(self, now: int) -> OrderBatch:
        """What former rooms have out and sent fades; to be called now and then."""
        orders = OrderBatch()
        if self.left_over:
            self._tell_beside(now, orders)
        return orders

    # --- maps ---

    def apply_map(self, map: CellMap, now: int) -> OrderBatch:
        """Another map: rooms for new cells, engines to their new seats; dropped cells end their
        requests.
        """
        self.map = map
        for cell in map.cells:
            if cell.name not in self.facades:
                self._furnish(cell.name, now)
        orders = OrderBatch()
        self._reseat(now, self.placement.apply_map(map), orders)
        self._tell_beside(now, orders)
        for room in list(self.facades.values()):
            self._dissolve(room)
        return orders

    def adopt(self, seats: dict[str, str | None], now: int) -> OrderBatch:
        """The seats of another process of this broker."""
        orders = OrderBatch()
        if changes := self.placement.adopt(seats):
            self._reseat(now, changes, orders)
            self._tell_beside(now, orders)
        return orders

    # --- what is asked ---

    def fleet(self, cell: str, now: int) -> Fleet:
        """Engines of the cell that take new work, and those of them that are cold."""
        room = self.facades.get(cell)
        if room is None:
            return Fleet(0, 0)
        ready = [
            n
            for n in room.engines
            if self.entries[n].state is EndpointState.READY and n not in self.bans
        ]
        cold = self.settings.contract.warmup_ns
        return Fleet(
            len(ready),
            sum(
                now < max(self.entries[n].started_ns, self.cold_until.get(n, 0)) + cold
                for n in ready
            ),
        )

    def avoided(self) -> int:
        return sum(room.avoided() for room in self.facades.values())

    def shares(self) -> dict[int, tuple[float, float]]:
        """Threads and bound that the cell of each engine goes by there."""
        return {
            n: share
            for room in self.facades.values()
            for n, share in room.shares().items()
            if n in room.engines
        }

    def widest(self) -> int:
        return max((room.widest() for room in self.facades.values()), default=1)

    def outstanding(self, now: int) -> dict[int, OutstandingWork]:
        out: dict[int, OutstandingWork] = {}
        for room in self.facades.values():
            for number, theirs in room.outstanding(now).items():
                out[number] = _sum(out.get(number, NOTHING), theirs)
        return out


def _sum(a: OutstandingWork, b: OutstandingWork) -> OutstandingWork:
    return OutstandingWork(
        a.threads + b.threads, a.backlog_ns + b.backlog_ns, a.warmup_ns + b.warmup_ns
    )


def _add(orders: OrderBatch, more: OrderBatch) -> None:
    orders.options += more.options
    orders.dispatches += more.dispatches
    orders.answers += more.answers
    orders.cancellations += more.cancellations
    orders.health_checks += more.health_checks
