"""The broker with cells: whose a request is, what its cell may hold, and what is called in from
borrowers.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import cast

from ..config import Config
from ..decisions.facade import CloseRequests, Facade
from ..decisions.settings import Effect
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.requests import ActiveRequest, Client
from ..dispatch.validation import ParsedRequest
from ..endpoints.connection_pools import OWN_PART, ConnectionPool, ConnectionPools
from ..metrics import STATUSES, escaped
from ..protocols.engine_connection import EngineConnection
from ..timer_wheel import Clock
from .borrowing import RESERVED_FRACTION, Ledger
from .migration_log import MigrationLog
from .model import CellMap
from .router import Assignment, CellRouter
from .work_rates import Rates

MS = 1_000_000
ANTEROOM = ""  # of connections that have not asked for anything yet
ANTEROOM_PART = 0.2  # of what is divided among connections
OPEN_BYTES = 4_096  # of the room for statements, for each request that may be open
CALL_IN = 100 * MS  # ns between looks at what is due back
PREFIX = "larchhall_cell_"


class CellDispatcher(Dispatcher):
    def __init__(
        self, config: Config, clock: Clock, log: Callable[[str, str], None], map: CellMap, me: str
    ) -> None:
        self.map = map
        self.moves = MigrationLog(map, me)
        self.requests_lent, self.statements = Ledger(), Ledger()
        self.frames, self.answers, self.connections = Ledger(), Ledger(), Ledger()
        self.charged: dict[str, tuple[str, int, bool]] = {}
        self.rates = Rates()
        self.replies: dict[tuple[str, str, int], int] = {}
        self.refused_for_room: dict[str, int] = {}
        self.called_in = 0
        self.looked = clock.now()
        super().__init__(config, clock, log)
        self.firm_routes: set[str] = set()
        self._learn_routes()

    @property
    def router(self) -> CellRouter:
        return cast(CellRouter, self.facade)

    def make_facade(self, now_ns: int) -> Facade:
        # Only what the broker asks of a facade is asked of it.
        return cast(
            Facade,
            CellRouter(
                self.config.settings,
                self.config.seed,
                now_ns,
                self.wheel,
                self.map,
                lambda number: self.endpoint_table.by_number[number].target.uid,
            ),
        )

    def make_connection_pools(self) -> ConnectionPools:
        config = self.config
        return CelledPools(
            self,
            streams=config.streams,
            connect_timeout=config.connect_timeout,
            conn_idle=config.conn_idle,
            unsent=self.outcomes.end,
            may_go=self.gate.may_go,
        )

    def shares(self) -> dict[str, float]:
        return {cell.name: cell.part() for cell in self.map.cells}

    def shares_with_anteroom(self) -> dict[str, float]:
        shares = self.shares()
        return {**shares, ANTEROOM: sum(shares.values()) * ANTEROOM_PART / (1 - ANTEROOM_PART)}

    def divide(self, processes: int, clients: int) -> None:
        super().divide(processes, clients)
        self._divide_among_cells()

    def _divide_among_cells(self) -> None:
        inner, outer = self.shares(), self.shares_with_anteroom()
        self.statements.divide(self.room, inner)
        self.requests_lent.divide(self.room // OPEN_BYTES, inner)
        self.frames.divide(self.room, outer)
        self.answers.divide(self.room, outer)
        self.connections.divide(self.most_clients, outer)
        cast(CelledPools, self.pools).ledger.divide(self.pools.most, inner)

    def apply_settings(self, read: Config) -> None:
        super().apply_settings(read)
        self._learn_routes()

    def _learn_routes(self) -> None:
        """Classes whose work may not be cut short, since it may have run."""
        self.firm_routes = {
            c.name for c in self.config.settings.classes if c.effect is not Effect.IDEMPOTENT
        }

    def take_map(self, map: CellMap) -> None:
        """Another map is in force. The caller has seen to it that it is no older one."""
        now = self.now()
        self.map = map
        self.moves.apply_map(map, now)
        self.carry_out(now, self.router.apply_map(map, now))
        self._divide_among_cells()

    def adopt_seats(self, seats: dict[str, str | None]) -> None:
        now = self.now()
        self.carry_out(now, self.router.adopt(seats, now))

    def close_out(self, subject: str, cell: str) -> None:
        """What is open of the subject there gets the final answer that the rules allow."""
        self.report_event(CloseRequests(self.router.requests_of(subject, cell)))

    # --- requests ---

    def admit(
        self, client: Client, stream: int, parsed: ParsedRequest, received_ns: int = 0
    ) -> ActiveRequest:
        now = self.now()
        subject = self.map.subject(parsed.tenant or "", parsed.class_name, parsed.data_set)
        cell = self.moves.cell(subject, now)
        same_id = self.request_table.by_client_id.get(parsed.client_request_id.encode(), ())
        for other in same_id:
            # Danger: an engine of another cell knows nothing of the one that is open under this id.
            if (place := self.router.requests.get(other.id)) is not None:
                cell, subject = place[0].cell, place[1]
        self.router.assigned = Assignment(subject, cell)
        self.rates.add(subject, int(parsed.estimate_ms * MS))
        return super().admit(client, stream, parsed, received_ns)

    def has_statement_capacity(self, request: ActiveRequest) -> bool:
        """Danger: one tenant's flood takes the memory and the descriptors of all: each cell has its
        part. What may have run cannot be called in again, so it is never taken on loan.
        """
        assert self.router.assigned is not None
        now, cell, size = self.now(), self.router.assigned[1], len(request.statement)
        firm = request.class_name.decode() in self.firm_routes
        # of a client that holds a descriptor on some part
        settle = getattr(request.client, "settle", None)
        if settle is not None and not settle(cell):
            return self._turn_away(cell)
        if not self.requests_lent.take(cell, 1, now, firm):
            return self._turn_away(cell)
        if not self.statements.take(cell, size, now, firm):
            self.requests_lent.give(cell, 1, firm)
            return self._turn_away(cell)
        self.charged[request.id] = cell, size, firm
        return True

    def _turn_away(self, cell: str) -> bool:
        self.refused_for_room[cell] = self.refused_for_room.get(cell, 0) + 1
        return False

    def _release(self, request: str) -> None:
        if (charge := self.charged.pop(request, None)) is not None:
            cell, size, firm = charge
            self.requests_lent.give(cell, 1, firm)
            self.statements.give(cell, size, firm)

    def begin_answer(self, request: ActiveRequest, status: int) -> Client:
        if (place := self.router.requests.get(request.id)) is not None:
            cell = place[0].cell
        else:
            cell = self.router.assigned[1] if self.router.assigned is not None else ""
        key = cell, request.class_name.decode(), status
        self.replies[key] = self.replies.get(key, 0) + 1
        return super().begin_answer(request, status)

    def release(self, request: ActiveRequest) -> None:
        super().release(request)
        if request.id not in self.requests:
            self._release(request.id)

    # --- loans ---

    def tick(self) -> None:
        super().tick()
        now = self.now()
        if now - self.looked >= CALL_IN:
            self.looked = now
            self.rates.fold(now)
            self._call_in(now)
            cast(CelledPools, self.pools).call_in(now)
            self.carry_out(now, self.router.fade(now))

    def _call_in(self, now: int) -> None:
        """An owner has asked: borrowers' safe requests, the youngest first, get their final answer,
        and their statements go. What they have running goes on; nothing more is sent for them.
        """
        for ledger, worth in (
            (self.requests_lent, lambda size: 1),
            (self.statements, lambda size: size),
        ):
            for cell, amount in ledger.due(now).items():
                named: list[str] = []
                for id, (whose, size, firm) in reversed(self.charged.items()):
                    if amount <= 0:
                        break
                    if whose == cell and not firm:
                        named.append(id)
                        amount -= worth(size)
                if not named:
                    continue
                self.called_in += len(named)
                self.log("cells", f"{len(named)} requests on loan to {cell!r} are called in")
                self.report_event(CloseRequests(frozenset(named)))
                for id in named:
                    if (request := self.requests.get(id)) is not None and request.client is None:
                        self.request_table.statement_bytes -= len(request.statement)
                        request.statement = b""
                        self._release(id)

    # --- figures ---

    def metrics(self) -> bytes:
        return super().metrics() + self.cell_figures()

    def cell_figures(self) -> bytes:
        now = self.now()
        lines = [
            f"# HELP {PREFIX}replies_total Requests answered, by cell and class.",
            f"# TYPE {PREFIX}replies_total counter",
        ]
        for (cell, route, status), count in sorted(self.replies.items()):
            lines.append(
                f'{PREFIX}replies_total{{cell="{escaped(cell)}",type="{escaped(route)}",'
                f'status="{STATUSES[status]}"}} {count}'
            )
        pools = cast(CelledPools, self.pools)
        pools.count_use()
        single: list[tuple[str, str, str, Mapping[str, float]]] = [
            (
                "open",
                "gauge",
                "Requests that hold a part of the room.",
                {c: a.used for c, a in self.requests_lent.accounts.items()},
            ),
            (
                "statement_bytes",
                "gauge",
                "Bytes of their statements.",
                {c: a.used for c, a in self.statements.accounts.items()},
            ),
            (
                "engine_connections",
                "gauge",
                "Connections to the cell's engines.",
                {c: a.used for c, a in pools.ledger.accounts.items()},
            ),
            (
                "lent",
                "gauge",
                "Requests beyond the cell's own part.",
                {c: self.requests_lent.lent(c) for c in self.requests_lent.accounts},
            ),
            (
                "engines_ready",
                "gauge",
                "Engines that take new work.",
                {c.name: self.router.seats.fleet(c.name, now).ready for c in self.map.cells},
            ),
            (
                "engines_cold",
                "gauge",
                "Those of them that are cold.",
                {c.name: self.router.seats.fleet(c.name, now).cold for c in self.map.cells},
            ),
            (
                "refused_for_room_total",
                "counter",
                "Requests refused since the cell's part was full.",
                {c.name: self.refused_for_room.get(c.name, 0) for c in self.map.cells},
            ),
        ]
        for name, kind, help, values in single:
            lines += f"# HELP {PREFIX}{name} {help}", f"# TYPE {PREFIX}{name} {kind}"
            lines += (
                f'{PREFIX}{name}{{cell="{escaped(c)}"}} {value}'
                for c, value in sorted(values.items())
            )
        stages: dict[str, int] = {}
        for move in self.moves.records.values():
            stages[move.stage.value] = stages.get(move.stage.value, 0) + 1
        lines += (f"# HELP {PREFIX}moves Moves on record, by stage.", f"# TYPE {PREFIX}moves gauge")
        lines += (
            f'{PREFIX}moves{{stage="{stage}"}} {count}' for stage, count in sorted(stages.items())
        )
        lines += (
            f"# HELP {PREFIX}called_in_total Requests on loan that were called in.",
            f"# TYPE {PREFIX}called_in_total counter",
            f"{PREFIX}called_in_total {self.called_in}",
        )
        lines += (
            f"# HELP {PREFIX}map_epoch Epoch of the map in force.",
            f"# TYPE {PREFIX}map_epoch gauge",
            f"{PREFIX}map_epoch {self.map.epoch}",
        )
        return ("\n".join(lines) + "\n").encode()


class CelledPools(ConnectionPools):
    """Connections to engines, each cell with its part of the descriptors."""

    def __init__(
        self,
        owner: CellDispatcher,
        *,
        streams: int,
        connect_timeout: int,
        conn_idle: int,
        unsent: Callable[..., None],
        may_go: Callable[..., bool],
    ) -> None:
        super().__init__(
            owner.connection_events,
            owner.log,
            streams=streams,
            connect_timeout=connect_timeout,
            conn_idle=conn_idle,
            unsent=unsent,
            may_go=may_go,
        )
        self.broker = owner
        self.ledger = Ledger()

    def cell(self, pool: ConnectionPool) -> str:
        return self.broker.router.seats.cell_of(pool.number) or ""

    def count_use(self) -> None:
        """Danger: an engine that has gone, or sits in no cell, holds connections too: all are
        counted.
        """
        used, strays = dict.fromkeys(self.ledger.accounts, 0), 0
        for pool in self.by_number.values():
            cell = self.cell(pool)
            count = sum(not c.ending for c in pool.connections) + (pool.opening is not None)
            if cell in used:
                used[cell] += count
            else:
                strays += count
        for cell, count in used.items():
            self.ledger.book(cell, count)
        self.ledger.total = max(0, self.most - strays)

    def _most(self, cell: str) -> int:
        """What the cell may hold now: its part, and what others lend."""
        self.count_use()
        account = self.ledger.accounts.get(cell)
        if account is None:
            return 1
        lent = self.ledger.free() - sum(
            a.reserve() for n, a in self.ledger.accounts.items() if n != cell
        )
        return max(account.part, account.used + max(0, lent))

    def share(self, pool: ConnectionPool) -> int:
        cell = self.cell(pool)
        live = sum(n in self.by_number for n in self._engines(cell))
        return max(1, int(self._most(cell) * OWN_PART) // max(1, live))

    def _engines(self, cell: str) -> set[int]:
        room = self.broker.router.facades.get(cell)
        return room.endpoints if room is not None else set()

    def room(self, pool: ConnectionPool) -> bool:
        cell = self.cell(pool)
        most = self._most(cell)
        account = self.ledger.accounts.get(cell)
        if account is None:
            return False
        # Danger: what is lent out is not there yet: until it is back, attempts share connections.
        return account.used < most * OWN_PART and (self.ledger.free() > 0 or bool(self._idle()))

    def make_room(self, pool: ConnectionPool) -> bool:
        """The one that is opening counts already."""
        cell, now = self.cell(pool), self.broker.now()
        most = self._most(cell)
        account = self.ledger.accounts.get(cell)
        if account is None:
            return super().make_room(pool)
        if account.used <= most and self.ledger.free() >= 0:
            if account.used > RESERVED_FRACTION * account.part:
                # it digs into what may be lent: nothing more of it is
                self.ledger.allows(cell, 0, now)
            return True
        # Its own idle ones first; then of those who hold more than their part.
        idle = self._idle()
        for connection in idle:
            whose = self.broker.router.seats.cell_of(connection.endpoint) or ""
            if whose == cell or (
                account.used <= account.part
                and whose in self.ledger.accounts
                and self.ledger.lent(whose)
            ):
                connection.close()
                return True
        self.ledger.allows(cell, 1, now)
        return False

    def call_in(self, now: int) -> None:
        """An owner has asked: borrowers' connections go, idle ones first, then those on which
        nothing is open that may not be cut short.
        """
        if not any(a.reclaim_since is not None for a in self.ledger.accounts.values()):
            return
        self.count_use()
        for cell, amount in self.ledger.due(now).items():
            held = [
                c
                for p in self.by_number.values()
                if self.cell(p) == cell
                for c in p.connections
                if not c.ending
            ]
            able = [
                c
                for c in held
                if not any(self._firm(a.request) for a in c.in_flight.values() if a.wanted())
            ]
            for connection in sorted(able, key=_weight)[:amount]:
                connection.give_up("called in by the cell that owns the descriptor")

    def _firm(self, request: ActiveRequest) -> bool:
        return request.class_name.decode() in self.broker.firm_routes


def _weight(connection: EngineConnection) -> tuple[int, int]:
    return sum(a.wanted() for a in connection.in_flight.values()), connection.used
