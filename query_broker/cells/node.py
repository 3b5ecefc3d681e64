"""A node with cells: its clients' places and turns, its moves, its maps, and the operators' calls
on them.
"""

from __future__ import annotations

import json
import os
from collections.abc import Collection, Mapping
from typing import Any
from urllib.parse import unquote_to_bytes

from ..config import Config
from ..dispatch.dispatcher import Dispatcher
from ..operator_config.script import OperatorFileError
from ..operator_config.service import ConfiguredNode
from ..operator_config.settings import OperatorConfig
from ..protocols.client_connection import ClientConnection
from ..server.client_admission import ClientAdmission
from ..server.process_status import KEY_ACCEPTING, KEY_CELLS, ProcessStatus
from .borrowing import Ledger
from .client_connection import CelledConnection
from .dispatcher import ANTEROOM, CellDispatcher
from .fair_turns import Turns
from .migrations import Fleet, Move, Refused, read_move
from .model import BadMap, CellMap, from_plain

STEP = 50_000_000  # ns between steps of the moves
TURNS_PART = 0.6  # of the loop's time goes by turns: reading requests and deciding on them
MOST_TENANTS_TOLD = 5_000  # a larger map is not told to another process, only its epoch
JSON = "application/json"


class CellNode(ConfiguredNode):
    longest_rest_ns = 0  # rounds go on with every tick

    def __init__(
        self,
        config: Config,
        said: OperatorConfig,
        path: str,
        environ: Mapping[str, str] = os.environ,
    ) -> None:
        assert said.cell_map is not None, "no cells"
        self._hold(said.cell_map)
        self.me = f"{os.getpid()}-{os.urandom(4).hex()}"
        # connections whose turn has not come, in their order
        self.queue: dict[CelledConnection, None] = {}
        # what other processes told of cells, by their name
        self.theirs: dict[str, dict[str, Any]] = {}
        self.stepped = 0
        super().__init__(config, said, path, environ)
        # The rest of each tick is for the engines' answers.
        self.turns = Turns(
            self.celled.shares_with_anteroom(), TURNS_PART * self.config.settings.tick_ns
        )
        self.admin_api.calls.append(self._call)
        self._warn_of_strangers()

    @property
    def celled(self) -> CellDispatcher:
        assert isinstance(self.dispatcher, CellDispatcher)
        return self.dispatcher

    def make_dispatcher(self) -> Dispatcher:
        return CellDispatcher(self.config, self.clock, self.log, self.map, self.me)

    def make_admission(self) -> ClientAdmission:
        return CellAdmission(self)

    def make_connection(self) -> ClientConnection:
        return CelledConnection(self)

    def _warn_of_strangers(self) -> None:
        """Not a fault: the two files may change one after the other."""
        strangers = [
            t
            for t in self.map.tenants
            if self.dispatcher.validator.tenants and t not in self.dispatcher.validator.tenants
        ]
        if strangers:
            self.log(
                "cells",
                f"{len(strangers)} tenants of the file are none of the settings, among them "
                f"{strangers[0]!r}",
            )

    # --- clients ---

    def take_place(self, cell: str) -> bool:
        """Account one more connection to this cell; False where its quota is used up."""
        ledger, now = self.celled.connections, self.clock.now()
        return ledger.take(cell, 1, now) or (self._make_room_in(cell) and ledger.take(cell, 1, now))

    def settle(self, connection: CelledConnection, cell: str) -> bool:
        """A connection asks for a cell's tenant: it goes on that cell's part."""
        ledger = self.celled.connections
        if connection not in self.clients:
            return True  # its place has been given to another; it ends soon
        ledger.give(connection.cell, 1)
        if not self.take_place(cell):
            ledger.force(connection.cell, 1)  # it keeps the place that it had
            return False
        self._rebook(connection, cell)
        connection.cell = cell
        return True

    def _rebook(self, connection: CelledConnection, cell: str) -> None:
        self.celled.frames.give(connection.cell, connection.booked)
        self.celled.frames.force(cell, connection.booked)

    def held_of_frames(self, connection: CelledConnection, change: int) -> bool:
        ledger = self.celled.frames
        if not change:
            return True
        if change < 0:
            ledger.give(connection.cell, -change)
            return True
        if not ledger.allows(connection.cell, change, self.clock.now()):
            connection.booked -= change
            return False
        ledger.force(connection.cell, change)
        return True

    def _make_room_in(self, cell: str) -> bool:
        """The place of one of the cell's own idle connections, or of an idle one that is on
        loan.
        """
        ledger = self.celled.connections
        owner = ledger.accounts.get(cell)
        entitled = owner is not None and owner.used < owner.part
        return self.admission.evict(
            c
            for c in self.clients
            if isinstance(c, CelledConnection)
            and c.idle()
            and (c.cell == cell or (entitled and c.cell in ledger.accounts and ledger.lent(c.cell)))
        )

    def may_go_on(self, connection: CelledConnection) -> bool:
        if self.turns.allowed(connection.cell):
            return True
        self.queue[connection] = None
        return False

    def spent(self, cell: str, time: float) -> None:
        self.turns.spent(cell, time)

    def _next_round(self) -> None:
        """Those whose turn did not come go on, as far as their cells' shares reach. Danger: one
        that fails its turn again queues anew, behind the others.
        """
        self.turns.round()
        if self.queue:
            waiting, self.queue = list(self.queue), {}
            for connection in waiting:
                connection.go_on()

    def _sweep(self, now: int) -> None:
        ledger = self.celled.answers
        used = dict.fromkeys(ledger.accounts, 0)
        readers: dict[str, list[CelledConnection]] = {}
        for client in self.clients:
            assert isinstance(client, CelledConnection)
            if (
                client.paused_at
                and now - client.paused_at > self.dispatcher.deadline_controls.settings.slow_reader
            ):
                self.admission.drop_slow_reader(client)
            elif unread := client.unread():
                used[client.cell] = used.get(client.cell, 0) + unread
                readers.setdefault(client.cell, []).append(client)
        for cell, amount in used.items():
            ledger.book(cell, amount)
            # an owner with much of its own part in use is asking for it
            ledger.allows(cell, 0, now)
        owed = _over(ledger)
        for cell, amount in ledger.due(now).items():
            owed[cell] = max(owed.get(cell, 0), amount)
        for cell, amount in owed.items():
            for client in sorted(readers.get(cell, ()), key=ClientConnection.unread, reverse=True):
                if amount <= 0:
                    break
                amount -= client.unread()
                self.admission.drop_slow_reader(client)
        self._call_clients_in(now)

    def _call_clients_in(self, now: int) -> None:
        """Connections on loan: idle ones end, the others are told to leave."""
        for cell, amount in self.celled.connections.due(now).items():
            held = [c for c in self.clients if isinstance(c, CelledConnection) and c.cell == cell]
            for connection in sorted(held, key=lambda c: (not c.idle(), c.used))[:amount]:
                if connection.idle():
                    self.admission.discard(connection)
                    connection.let_go()
                else:
                    connection.leave_off()

    # --- time ---

    def after_tick(self) -> None:
        super().after_tick()
        try:
            self._next_round()
            now = self.clock.now()
            if now - self.stepped >= STEP:
                self.stepped = now
                self._step(now)
        except Exception as error:  # danger: a fault here must not end the tick of everything else
            self.log("fault", f"cells: {type(error).__name__}: {error}")

    def _step(self, now: int) -> None:
        moves = self.celled.moves
        before = {s: m.stage for s, m in moves.records.items()}
        # Danger: one that leaves must not drive what it will not see the end of.
        taking = [name for name, said in self.theirs.items() if said["accepting"]]
        if not self.closing_announced or not taking:
            moves.step(now, self, taking)
        for subject, move in moves.records.items():
            if before.get(subject) is not move.stage:
                self.log(
                    "cells",
                    f"{subject!r} from {move.source!r} to {move.target!r}: {move.stage.value}"
                    + (f" ({move.why})" if move.why else ""),
                )
        closing, moves.closing = moves.closing, []
        for out in closing:
            self.celled.close_out(out.subject, out.cell)
        if moves.changed:
            moves.changed = False
            if self.peer_processes is not None:
                self.peer_processes.tell()

    # --- what a step of a move looks at ---

    def fleet(self, cell: str) -> Fleet:
        return self.celled.hall.fleet(cell, self.clock.now())

    def open(self, subject: str, cell: str) -> int:
        count = self.celled.hall.open.get((subject, cell), 0)
        for said in self.theirs.values():
            count += int(said["open"].get(subject, {}).get(cell, 0))
        return count

    def heard(self, move: Move) -> bool:
        return all(
            any(m.subject == move.subject and m.version >= move.version for m in said["moves"])
            for said in self.theirs.values()
        )

    # --- other processes ---

    def status_extension(self) -> dict[str, Any]:
        broker, moves = self.celled, self.celled.moves
        open_now: dict[str, dict[str, int]] = {}
        for (subject, cell), count in broker.hall.open.items():
            if subject in moves.records:
                open_now.setdefault(subject, {})[cell] = count
        told: dict[str, Any] = {
            "me": self.me,
            "epoch": self.map.epoch,
            "digest": self.digest,
            "moves": [m.plain() for m in moves.records.values()],
            "open": open_now,
            "seats": broker.hall.placement.seats,
        }
        if self.plain is not None:
            told["map"] = self.plain
        return {"cells": told}

    def apply_peer_statuses(self, others: Collection[ProcessStatus]) -> None:
        """Danger: what another process tells may be of another version: what cannot be read is
        left.
        """
        super().apply_peer_statuses(others)
        first = not self.theirs
        self.theirs = {}
        for other in others:
            fields = {KEY_ACCEPTING: other.accepting, KEY_CELLS: other.cells}
            if (said := self._hear(fields)) is not None:
                self.theirs[said["me"]] = said
        for said in self.theirs.values():
            if said["map"] is not None and said["epoch"] > self.map.epoch:
                self.log(
                    "cells",
                    f"another process has the map of epoch {said['epoch']}: taken from there",
                )
                self._take_map(said["map"])
            elif said["epoch"] == self.map.epoch and said["digest"] != self.digest:
                self.log(
                    "cells", f"another process has another map of the same epoch {self.map.epoch}"
                )
        if first and not self.listed_before:
            for said in self.theirs.values():
                if said["epoch"] <= self.map.epoch:
                    self.celled.adopt_seats(said["seats"])
        for said in self.theirs.values():
            self.celled.moves.merge(said["moves"])

    @property
    def listed_before(self) -> bool:
        """It has served already, so that its own seats hold."""
        return self.server is not None

    def _hear(self, other: dict[str, Any]) -> dict[str, Any] | None:
        raw = other.get("cells")
        if raw is None:
            return None
        try:
            return {
                "me": str(raw["me"]),
                "accepting": bool(other["accepting"]),
                "epoch": int(raw["epoch"]),
                "digest": str(raw["digest"]),
                "moves": [read_move(m) for m in raw["moves"]],
                "open": {
                    str(s): {str(c): int(n) for c, n in cells.items()}
                    for s, cells in raw["open"].items()
                },
                "seats": {str(u): None if c is None else str(c) for u, c in raw["seats"].items()},
                "map": from_plain(raw["map"])
                if "map" in raw and raw["epoch"] > self.map.epoch
                else None,
            }
        except (BadMap, ValueError, TypeError, KeyError, AttributeError) as error:
            self.log(
                "cells",
                f"what another process tells cannot be read: {type(error).__name__}: {error}",
            )
            return None

    # --- maps ---

    def _hold(self, map: CellMap) -> None:
        """Danger: told ten times a second during an upgrade, a map of 1,000 tenants made plain each
        time takes a tenth of the core.
        """
        self.map, self.digest = map, map.digest()
        self.plain = map.plain() if len(map.tenants) <= MOST_TENANTS_TOLD else None

    def _take_map(self, map: CellMap) -> None:
        self._hold(map)
        self.celled.take_map(map)
        self.turns.take(self.celled.shares_with_anteroom())
        for connection in self.clients:  # a cell that is gone has no part for its connections
            if (
                isinstance(connection, CelledConnection)
                and connection.cell != ANTEROOM
                and map.cell(connection.cell) is None
            ):
                self.celled.connections.give(connection.cell, 1)
                self.celled.frames.give(connection.cell, connection.booked)
                connection.cell = ANTEROOM
                self.celled.connections.force(ANTEROOM, 1)
                self.celled.frames.force(ANTEROOM, connection.booked)
        self._warn_of_strangers()

    def check_operator_config(self, said: OperatorConfig) -> OperatorConfig:
        """Danger: an old file put back by mistake would undo moves at this process and not at the
        others.
        """
        if said.cell_map is None:
            raise OperatorFileError(
                f"{self.operator_file}: cell: none is named, and the program was started with "
                "some"
            )
        if said.cell_map.epoch < self.map.epoch:
            raise OperatorFileError(
                f"{self.operator_file}: epoch: {said.cell_map.epoch} is older than "
                f"{self.map.epoch}, which is in force"
            )
        if said.cell_map.epoch == self.map.epoch and said.cell_map.digest() != self.digest:
            raise OperatorFileError(
                f"{self.operator_file}: epoch: {said.cell_map.epoch} is in force with another map; "
                "a changed map needs a higher one"
            )
        return said

    def apply_operator_config(self, said: OperatorConfig) -> None:
        super().apply_operator_config(said)
        if said.cell_map is not None:
            self._take_map(said.cell_map)

    # --- operators' calls ---

    def _call(self, method: str, path: str) -> tuple[int, bytes, str, str] | None:
        if path != "/cells" and not path.startswith("/cells/"):
            return None
        try:
            parts = [unquote_to_bytes(part).decode() for part in path.split("/")[2:]]
        except UnicodeDecodeError:
            return _said(400, {"error": "a name that is no text"})
        wanted = "POST" if parts else "GET"
        if method != wanted:
            return _said(405, {"error": f"this call is a {wanted}"}, wanted)
        moves, now = self.celled.moves, self.clock.now()
        try:
            match parts:
                case []:
                    return _said(200, self.shown())
                case ["move", subject, cell]:
                    move = moves.propose(subject, cell, now)
                case ["abort", subject]:
                    move = moves.take_back(subject, now)
                case _:
                    return _said(404, {"error": "no such call"})
        except Refused as error:
            return _said(409, {"error": str(error)})
        if self.peer_processes is not None:
            # danger: after the yes it holds, also where this process ends now
            self.peer_processes.tell()
        self.log(
            "cells",
            f"{move.subject!r} from {move.source!r} to {move.target!r}: {move.stage.value}, "
            "by call",
        )
        return _said(200, move.plain())

    def shown(self) -> dict[str, Any]:
        """Cells, their engines, tenants and loads, and the moves."""
        now, broker = self.clock.now(), self.celled
        hall = broker.hall
        cells = []
        for cell in self.map.cells:
            fleet = hall.fleet(cell.name, now)
            engines = {n: hall.entries[n] for n in hall.rooms[cell.name].engines}
            known = hall.rooms[cell.name].controller.engines
            cells.append(
                {
                    "cell": cell.name,
                    "weight": cell.weight,
                    "default": cell.name == self.map.default,
                    "ready": fleet.ready,
                    "cold": fleet.cold,
                    "short": fleet.ready < cell.least,
                    "cores": sum(known[n].cores for n in engines if n in known),
                    "open": hall.rooms[cell.name].open,
                    "lent": broker.requests_lent.lent(cell.name),
                    "refused_for_room": broker.refused_for_room.get(cell.name, 0),
                    "engines": sorted(hall.uid_of(n) for n in engines),
                }
            )
        subjects = {*self.map.tenants, *broker.rates.held, *broker.moves.records}
        spread = {t.name for t in self.map.tenants.values() if t.key}
        tenants = [
            {
                "tenant": s,
                "cell": broker.moves.cell(s, now),
                "load": round(broker.rates.at(s, now), 6),
            }
            for s in sorted(subjects - spread)
        ]
        return {
            "epoch": self.map.epoch,
            "digest": self.digest,
            "cells": cells,
            "tenants": tenants,
            "unplaced": sorted(u for u, c in hall.placement.seats.items() if c is None),
            "moves": [
                m.plain() for m in sorted(broker.moves.records.values(), key=lambda m: -m.begun)
            ],
        }


class CellAdmission(ClientAdmission):
    """Accounts each client connection to a cell, in the ledger of connections."""

    def __init__(self, node: CellNode) -> None:
        super().__init__(node)
        self.cell_node = node

    def has_place(self) -> bool:
        """A new connection is accounted to the anteroom, until its first request names a tenant."""
        return self.cell_node.take_place(ANTEROOM)

    def discard(self, connection: ClientConnection) -> None:
        """Release the place of a connection in its cell, and its turn."""
        assert isinstance(connection, CelledConnection)
        self.cell_node.queue.pop(connection, None)
        if connection in self.connections:
            self.connections.discard(connection)
            self.cell_node.celled.connections.give(connection.cell, 1)

    def close_slow_readers(self, now_ns: int) -> None:
        """Close slow readers by the ledgers of the cells, and call lent places in."""
        self.cell_node._sweep(now_ns)


def _over(ledger: Ledger) -> dict[str, int]:
    """Past the total: those beyond their part give back, the largest loans first."""
    missing, owed = -ledger.free(), {}
    for cell in sorted(ledger.accounts, key=lambda c: -ledger.lent(c)):
        if missing > 0 and (back := min(missing, ledger.lent(cell))):
            owed[cell] = back
            missing -= back
    return owed


def _said(status: int, body: dict[str, Any], allow: str = "") -> tuple[int, bytes, str, str]:
    return status, json.dumps(body, ensure_ascii=False).encode() + b"\n", JSON, allow
