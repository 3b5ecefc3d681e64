"""The pure core of cells: map, seats, borrowing, turns, migrations and plans."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_broker.cells import borrowing
from query_broker.cells import migrations as moves
from query_broker.cells import planner as plan
from query_broker.cells.borrowing import Ledger
from query_broker.cells.fair_turns import DeficitRoundRobin
from query_broker.cells.migration_log import MigrationLog
from query_broker.cells.migration_steps import step_migrations
from query_broker.cells.migrations import (
    CloseOut,
    Fleet,
    Migration,
    MigrationRejectedError,
    Stage,
    read_migration,
)
from query_broker.cells.model import (
    Cell,
    CellMap,
    CellMapError,
    MigrationTimeouts,
    Tenant,
    read_cell_map,
)
from query_broker.cells.placement import PlacedEndpoint, Placement
from query_broker.cells.read_turns import ReadTurns
from query_broker.cells.solver import NoPlanError, solve
from query_broker.cells.work_rates import DECAY_SPAN_NS, WorkRates

S = 1_000_000_000


def cell_map(
    *names: str, epoch: int = 1, tenants: dict[str, str] | None = None, **more: Any
) -> CellMap:
    cells = tuple(Cell(n) for n in names or ("a", "b"))
    named = {t: Tenant(t, (c,)) for t, c in (tenants or {"x": "a"}).items()}
    return CellMap(epoch, cells, cells[0].name, named, **more)


def seen(*uids: str, ready: bool = True, zone: str = "z", model: str = "m") -> list[PlacedEndpoint]:
    return [PlacedEndpoint(u, zone, model, ready) for u in uids]


# --- the map ---


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"cells": ()}, "cell"),
        ({"cells": (Cell("a"), Cell("a"))}, "cell.name"),
        ({"epoch": -1}, "epoch"),
        ({"cells": (Cell("a", weight=0.0),)}, "cell.weight"),
        ({"cells": (Cell("a/b"),)}, "cell.name"),
        ({"cells": (Cell("a", weight=float("nan")),)}, "cell.weight"),
        ({"default": "c"}, "default_cell"),
        ({"cells": (Cell("a", least=2, most=1),)}, "cell.most"),
        ({"cells": (Cell("a", zones=("z",)), Cell("b", zones=("z",)))}, "cell.zones"),
        ({"tenants": {"x": Tenant("x", ("c",))}}, "tenant.cell"),
        ({"tenants": {"x": Tenant("x", ("a", "a"))}}, "tenant.key"),
        ({"timeouts": MigrationTimeouts(warming_ns=-1)}, "moves.warm"),
    ],
)
def test_a_map_that_cannot_be_names_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(CellMapError, match=f"^{key}: "):
        CellMap(**{**{"epoch": 1, "cells": (Cell("a"),), "default": "a", "tenants": {}}, **change})


def test_a_map_survives_being_told_as_plain_objects() -> None:
    said = CellMap(
        3,
        (Cell("a", 2.0, ("s-1",), most=4), Cell("b", zones=("z",))),
        "b",
        {"x": Tenant("x", ("a", "b"), "route")},
        MigrationTimeouts(warming_ns=5),
    )
    assert read_cell_map(said.plain()) == said
    assert read_cell_map(said.plain()).digest() == said.digest()
    for spoilt in ({}, {**said.plain(), "cells": 3}, {**said.plain(), "epoch": "x"}):
        with pytest.raises(CellMapError):
            read_cell_map(spoilt)


def test_a_spread_tenant_has_parts_that_stay_where_they_are() -> None:
    cells = tuple(Cell(n) for n in "abc")
    said = CellMap(1, cells, "a", {"x": Tenant("x", ("a", "b", "c"), "data_set")})
    parts = {d: said.subject("x", "glance", d) for d in range(200)}
    homes = Counter(said.home(p) for p in parts.values())
    assert set(homes) == set("abc")
    assert min(homes.values()) > 20
    assert said.subject("x", "report", 7) == parts[7]
    assert said.subject("y", "glance", 7) == "y"
    assert said.is_migratable(parts[7])
    assert not said.is_migratable("x")
    assert not said.is_migratable("x#64")
    assert not said.is_migratable("x#07")
    # One cell fewer: the parts of the others stay.
    less = CellMap(2, cells, "a", {"x": Tenant("x", ("a", "b"), "data_set")})
    assert all(less.home(p) == said.home(p) for p in parts.values() if said.home(p) != "c")


# --- the seats ---


@given(st.lists(st.integers(0, 40), unique=True, min_size=1), st.integers(0, 40))
def test_an_engine_that_joins_or_leaves_moves_no_other(uids: list[int], other: int) -> None:
    bounded = CellMap(
        1, (Cell("a", 2.0, most=8), Cell("b", least=3), Cell("c", least=0, most=5)), "a"
    )
    placement = Placement(bounded)
    placement.apply_list_update(seen(*(f"s-{u}" for u in uids)))
    before = dict(placement.seats)
    changes = placement.apply_list_update(seen(f"s-{other}"))
    assert {u: placement.seats[u] for u in before} == before
    assert len(changes) == (f"s-{other}" not in before)
    placement.apply_list_update([], [f"s-{other}"])
    assert all(placement.seats[u] == c for u, c in before.items() if u != f"s-{other}")
    assert placement.size("a") <= 8
    assert placement.size("c") <= 5
    again = Placement(bounded)
    again.apply_list_update(seen(*(f"s-{u}" for u in uids)))
    assert again.seats == before  # the same news give the same seats everywhere


def test_seats_go_by_weight_pins_and_what_a_cell_lacks() -> None:
    placement = Placement(CellMap(1, (Cell("a", 3.0, least=0), Cell("b", 1.0, least=0)), "a"))
    placement.apply_list_update(seen(*(f"s-{i}" for i in range(1_000))))
    assert 700 < placement.size("a") < 800
    pinned = Placement(
        CellMap(1, (Cell("a", least=2), Cell("b", engines=("s-1",), zones=("y",))), "a")
    )
    pinned.apply_list_update([*seen("s-1"), *seen("s-2", zone="y"), *seen("s-3", "s-4")])
    assert pinned.seats == {"s-1": "b", "s-2": "b", "s-3": "a", "s-4": "a"}


def test_draining_engines_do_not_hold_the_seats_of_their_successors() -> None:
    placement = Placement(CellMap(1, tuple(Cell(n, least=3, most=3) for n in "ab"), "a"))
    placement.apply_list_update(seen(*(f"s-{i}" for i in range(6))))
    for i in range(6):
        old, home = f"s-{i}", placement.seat_of(f"s-{i}")
        placement.apply_list_update(seen(old, ready=False))
        placement.apply_list_update(seen(f"n-{i}"))
        placement.apply_list_update([], [old])
        assert placement.seat_of(f"n-{i}") == home
        assert placement.size("a") == placement.size("b") == 3
    placement.apply_list_update(seen("extra"))
    assert placement.seat_of("extra") is None  # every cell is full
    placement.apply_list_update([], ["n-0"])
    assert placement.seat_of("extra") is not None


def test_a_new_map_moves_what_it_must_and_no_more() -> None:
    placement = Placement(cell_map("a", "b", "c"))
    placement.apply_list_update(seen(*(f"s-{i}" for i in range(30))))
    before = dict(placement.seats)
    changes = placement.apply_map(cell_map("a", "b", epoch=2))
    assert {c.uid for c in changes} == {u for u, c in before.items() if c == "c"}
    assert all(c.new_cell in ("a", "b") for c in changes)
    placement.apply_map(CellMap(3, (Cell("a"), Cell("b", most=4), Cell("d", least=5)), "a"))
    assert placement.size("b") <= 4
    assert placement.size("d") >= 5
    assert None not in placement.seats.values()
    other = Placement(placement.map)
    other.apply_list_update(seen(*(f"s-{i}" for i in range(30))))
    other.adopt(placement.seats)
    assert other.seats == placement.seats


# --- borrowing ---


def ledger(total: int = 100, **shares: float) -> Ledger:
    made = Ledger()
    made.divide(total, shares or {"a": 1.0, "b": 1.0})
    return made


def test_a_cell_borrows_what_others_leave_but_never_their_last_quarter() -> None:
    books = ledger()
    taken = sum(books.acquire("a", 1, 0) for _ in range(200))
    assert taken == 100 - int(borrowing.RESERVED_FRACTION * 50)
    assert books.borrowed("a") == taken - 50
    assert all(books.acquire("b", 1, 0) for _ in range(12))
    assert not books.acquire("b", 1, 0)


def test_what_is_lent_is_due_within_a_second_of_the_owner_s_asking() -> None:
    books = ledger()
    while books.acquire("a", 1, 0):
        pass
    while books.acquire("b", 1, S):  # digs into what was lent
        pass
    assert books.amounts_to_call_in(S + borrowing.CALL_IN_DELAY_NS - 1) == {}
    assert borrowing.CALL_IN_DELAY_NS < S
    owed = books.amounts_to_call_in(S + borrowing.CALL_IN_DELAY_NS)
    assert owed == {"a": books.borrowed("a")}
    books.release("a", owed["a"])
    assert sum(books.acquire("b", 1, 2 * S) for _ in range(100)) == 50 - 12
    assert not books.acquire("a", 1, 2 * S)  # the owner has its whole part
    books.release("b", 50)
    assert books.amounts_to_call_in(2 * S + borrowing.RECLAIM_HOLD_NS + 1) == {}
    assert books.acquire("a", 1, 8 * S)


def test_what_cannot_be_called_in_is_never_borrowed() -> None:
    books = ledger()
    assert sum(books.acquire("a", 1, 0, firm=True) for _ in range(100)) == 50
    assert not books.acquire("a", 1, 0, firm=True)
    assert books.acquire("a", 1, 0)


@settings(max_examples=200)
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 30), st.booleans(), st.booleans()))
)
def test_no_ledger_gives_out_more_than_there_is(steps: list[tuple[str, int, bool, bool]]) -> None:
    books = ledger(97, a=1.0, b=2.0, c=0.5)
    held: list[tuple[str, int, bool]] = []
    for now, (name, amount, firm, take) in enumerate(steps):
        if take and books.acquire(name, amount, now, firm):
            held.append((name, amount, firm))
        elif not take and held:
            books.release(*held.pop())
        assert books.free() >= 0
        for n, account in books.accounts.items():
            assert account.in_use == sum(a for h, a, _ in held if h == n)
            assert account.firm_in_use <= account.quota


def test_parts_are_set_anew_with_what_is_in_use_still_booked() -> None:
    books = ledger()
    books.acquire("b", 40, 0)
    books.divide(100, {"a": 1.0})
    assert books.accounts["b"].quota == 0
    assert books.borrowed("b") == 40
    assert not books.acquire("a", 61, 0)
    books.amounts_to_call_in(0)
    assert books.amounts_to_call_in(2 * S) == {"b": 40}  # a dropped cell's use is all on loan
    books.release("b", 40)
    assert "b" not in books.accounts


# --- turns ---


def test_crowded_cells_get_their_shares_and_one_alone_gets_all() -> None:
    turns = DeficitRoundRobin({"a": 1.0, "b": 1.0}, 100.0)
    spent: Counter[str] = Counter()
    for _ in range(100):
        for name in "ab":
            other = "b" if name == "a" else "a"
            while turns.may_proceed(name) and spent[name] - spent[other] < 1_000:
                turns.charge(name, 7.0)
                spent[name] += 7
        turns.begin_round()
    assert abs(spent["a"] - spent["b"]) < 0.05 * spent["a"]
    alone = 0.0
    turns = DeficitRoundRobin({"a": 1.0, "b": 9.0}, 100.0)
    while turns.may_proceed("a"):
        turns.charge("a", 7.0)
        alone += 7.0
    assert alone >= 100.0  # the whole round, not a tenth
    turns.charge("b", 1.0)
    assert not turns.may_proceed("a")
    assert turns.may_proceed("b")


def test_debt_is_bounded_and_cells_come_and_go() -> None:
    turns = DeficitRoundRobin({"a": 1.0, "b": 1.0}, 100.0)
    turns.charge("a", 1e9)
    turns.charge("b", 1.0)
    rounds = 0
    while not turns.may_proceed("a"):
        turns.charge("b", 1.0)
        turns.charge("a", 0.0)
        turns.begin_round()
        rounds += 1
    assert rounds <= 6
    turns.set_weights({"b": 1.0, "c": 1.0})
    assert turns.may_proceed("c")
    assert set(turns.balance_by_cell) == {"b", "c"}
    turns.charge("a", 1.0)  # a connection of a cell that is gone


# --- moves ---


class SimulatedCluster:
    """What a step looks at."""

    def __init__(self) -> None:
        self.fleets = {"a": Fleet(2, 0), "b": Fleet(2, 0), "c": Fleet(2, 0)}
        self.count: Counter[tuple[str, str]] = Counter()
        self.replicated = True

    def fleet(self, cell: str) -> Fleet:
        return self.fleets.get(cell, Fleet(0, 0))

    def open_count(self, subject: str, cell: str) -> int:
        return self.count[subject, cell]

    def is_replicated(self, migration: Migration) -> bool:
        return self.replicated


def at(made: MigrationLog) -> Stage:
    return made.records["x"].stage


def play(
    made: MigrationLog, cluster: SimulatedCluster, now: int, seconds: float, step: int = S // 20
) -> int:
    for _ in range(int(seconds * S / step)):
        now += step
        step_migrations(made, now, cluster)
    return now


def test_a_move_goes_through_its_stages_and_leaves_the_tenant_there() -> None:
    made, cluster = MigrationLog(cell_map(), "p1"), SimulatedCluster()
    cluster.count["x", "a"] = 3
    made.propose("x", "b", 0)
    stages = [Stage.PROPOSED]
    now = 0
    for _ in range(200):
        now = play(made, cluster, now, 0.05)
        stage = at(made)
        if stage is not stages[-1]:
            stages.append(stage)
        assert made.cell("x", now) == (
            "b" if stage in moves.SWITCHED_STAGES and now >= made.records["x"].switch_at_ns else "a"
        )
    assert stages == [Stage.PROPOSED, Stage.WARMING, Stage.SWITCHED, Stage.DRAINING]
    cluster.count.clear()
    now = play(made, cluster, now, 0.1)
    assert at(made) is Stage.DONE
    assert made.cell("x", now) == "b"
    now = play(made, cluster, now, 700)
    assert made.cell("x", now) == "b"  # for good, since the map says otherwise


@pytest.mark.parametrize(
    ("fleet", "why"), [(Fleet(0, 0), "no ready engine"), (Fleet(4, 3), "get warm")]
)
def test_a_target_that_is_not_able_in_time_takes_the_move_back(fleet: Fleet, why: str) -> None:
    made, cluster = MigrationLog(cell_map(), "p1"), SimulatedCluster()
    cluster.fleets["b"] = fleet
    made.propose("x", "b", 0)
    now = play(made, cluster, 0, 45)
    assert at(made) is Stage.ROLLED_BACK
    assert why in made.records["x"].reason
    assert made.cell("x", now) == "a"
    made.propose("x", "b", now)  # it may be tried again


def test_a_target_that_loses_its_last_engine_gives_the_tenant_back() -> None:
    made, cluster = MigrationLog(cell_map(), "p1"), SimulatedCluster()
    cluster.count["x", "a"] = 1
    made.propose("x", "b", 0)
    now = play(made, cluster, 0, 5)
    assert at(made) is Stage.DRAINING
    cluster.fleets["b"] = Fleet(0, 0)
    cluster.count["x", "b"] = 1
    now = play(made, cluster, now, 0.3)
    assert made.cell("x", now) == "b"  # a blip moves nothing
    now = play(made, cluster, now, 0.5)
    assert at(made) is Stage.ROLLING_BACK
    assert made.cell("x", now) == "a"
    cluster.count.clear()
    now = play(made, cluster, now, 0.1)
    assert at(made) is Stage.ROLLED_BACK
    # Where the source has none either, there is nowhere better.
    cluster.fleets = {"a": Fleet(0, 0), "b": Fleet(2, 0)}
    made.propose("x", "b", now)
    cluster.count["x", "a"] = 1
    now = play(made, cluster, now, 5)
    cluster.fleets["b"] = Fleet(0, 0)
    assert made.cell("x", play(made, cluster, now, 5)) == "b"


def test_a_move_is_taken_back_at_every_stage_and_a_second_one_is_refused() -> None:
    for seconds, stage in (
        (0.0, Stage.PROPOSED),
        (0.1, Stage.WARMING),
        (2.0, Stage.SWITCHED),
        (5.0, Stage.DRAINING),
    ):
        made, cluster = MigrationLog(cell_map("a", "b", "c"), "p1"), SimulatedCluster()
        cluster.count["x", "a"] = cluster.count["x", "b"] = 1
        made.propose("x", "b", 0)
        now = play(made, cluster, 0, seconds)
        assert at(made) is stage
        with pytest.raises(MigrationRejectedError, match="on the move"):
            made.propose("x", "c", now)
        made.propose("y", "c", now)  # another tenant may move at once
        made.abort_by_operators("x", now)
        assert made.cell("x", now) == "a"
        if stage in moves.SWITCHED_STAGES:
            with pytest.raises(MigrationRejectedError, match="already"):
                made.abort_by_operators("x", now)
            cluster.count.clear()
            now = play(made, cluster, now, 0.1)
        assert at(made) is Stage.ROLLED_BACK
        with pytest.raises(MigrationRejectedError, match="not on the move"):
            made.abort_by_operators("x", now)


def test_what_cannot_be_moved_is_refused() -> None:
    spread = CellMap(1, (Cell("a"), Cell("b")), "a", {"x": Tenant("x", ("a", "b"), "route")})
    made = MigrationLog(spread, "p1")
    for subject, target in (
        ("", "b"),
        ("x", "b"),
        ("y", "c"),
        ("y", "a"),
        ("x#64", "b"),
        ("y\n", "b"),
    ):
        with pytest.raises(MigrationRejectedError):
            made.propose(subject, target, 0)
    assert not made.records
    assert not made.has_unpublished_changes
    part = next(f"x#{i}" for i in range(64) if spread.home(f"x#{i}") == "a")
    made.propose(part, "b", 0)


def test_what_is_open_past_the_time_for_it_is_closed_out_by_every_process() -> None:
    said = cell_map(timeouts=MigrationTimeouts(draining_ns=2 * S))
    made, other, cluster = MigrationLog(said, "p1"), MigrationLog(said, "p2"), SimulatedCluster()
    cluster.count["x", "a"] = 1
    made.propose("x", "b", 0)
    now = play(made, cluster, 0, 5)
    other.merge(made.records.values())
    now = play(made, cluster, now, 3)
    assert made.close_outs == [CloseOut("x", "a")]
    assert at(made) is Stage.DONE
    other.merge(made.records.values())
    assert other.close_outs == [CloseOut("x", "a")]
    assert other.cell("x", now) == "b"


def test_a_switch_waits_until_the_other_process_has_heard_of_it() -> None:
    made, cluster = MigrationLog(cell_map(), "p1"), SimulatedCluster()
    cluster.replicated = False
    made.propose("x", "b", 0)
    now = play(made, cluster, 0, 5)
    assert at(made) is Stage.WARMING
    assert made.cell("x", now) == "a"
    cluster.replicated = True
    now = play(made, cluster, now, 0.5)
    assert at(made) is Stage.SWITCHED
    assert made.cell("x", now) == "b"


def test_one_process_drives_and_another_takes_over_when_it_has_gone() -> None:
    first, second, cluster = (
        MigrationLog(cell_map(), "p2"),
        MigrationLog(cell_map(), "p1"),
        SimulatedCluster(),
    )
    first.propose("x", "b", 0)
    second.merge(first.records.values())
    step_migrations(second, S, cluster, ["p2"])
    assert second.records == first.records  # p2 lives: p1 leaves it alone
    now = S
    for _ in range(200):
        now += S // 20
        step_migrations(
            second, now, cluster, ["p3"]
        )  # p2 has gone; of p1 and p3 the lower takes over
    assert second.records["x"].stage is Stage.DONE
    assert second.records["x"].driver == "p1"
    assert first.merge(second.records.values())
    assert first.cell("x", now) == "b"
    # an older word changes nothing
    assert not first.merge([Migration("x", "a", "c", Stage.DONE, 1, 0, 0, "p9")])
    assert first.cell("x", now) == "b"


def test_records_survive_being_told_and_spoilt_ones_are_turned_down() -> None:
    made = MigrationLog(cell_map(), "p1")
    migration = made.propose("x", "b", 5)
    assert read_migration(migration.plain()) == migration
    for spoilt in (
        {},
        {**migration.plain(), "stage": "?"},
        {**migration.plain(), "at": "1"},
        {**migration.plain(), "z": 1},
    ):
        with pytest.raises((ValueError, TypeError, KeyError)):
            read_migration(spoilt)


@pytest.mark.parametrize(
    ("seconds", "left", "stage", "home"),
    [
        (0.1, "ac", Stage.ROLLED_BACK, "a"),
        (3.0, "ac", Stage.ROLLING_BACK, "a"),
        (0.1, "bc", Stage.DONE, "b"),
        (3.0, "bc", Stage.DONE, "b"),
        (3.0, "c", Stage.ROLLING_BACK, "c"),
    ],
)
def test_a_map_that_drops_a_cell_ends_its_moves(
    seconds: float, left: str, stage: Stage, home: str
) -> None:
    made, cluster = MigrationLog(cell_map("a", "b", "c"), "p1"), SimulatedCluster()
    made.propose("x", "b", 0)
    cluster.count["x", "a"] = cluster.count["x", "b"] = 1
    now = play(made, cluster, 0, seconds)
    tenants = {"x": left[0]}
    made.apply_map(cell_map(*left, epoch=2, tenants=tenants), now)
    assert at(made) is stage
    assert made.cell("x", now) == home


def test_a_map_that_names_a_moved_tenant_anew_has_the_last_word() -> None:
    made, cluster = MigrationLog(cell_map("a", "b", "c"), "p1"), SimulatedCluster()
    made.propose("x", "b", 0)
    now = play(made, cluster, 0, 6)
    made.apply_map(cell_map("a", "b", "c", epoch=2), now)
    assert made.cell("x", now) == "b"  # the file says nothing new of it
    made.apply_map(cell_map("a", "b", "c", epoch=3, tenants={"x": "c"}), now)
    assert made.cell("x", now) == "c"


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["step", "a", "b", "c", "back", "lose", "find", "open", "end"]),
            st.integers(0, 3),
        ),
        max_size=60,
    )
)
def test_whatever_happens_a_subject_has_one_cell_and_versions_rise(
    steps: list[tuple[str, int]],
) -> None:
    made, cluster = MigrationLog(cell_map("a", "b", "c"), "p1"), SimulatedCluster()
    now, version = 0, 0
    for word, number in steps:
        now += number * S // 2
        cell = "abc"[number % 3]
        try:
            if word in "abc":
                made.propose("x", word, now)
            elif word == "back":
                made.abort_by_operators("x", now)
        except MigrationRejectedError:
            pass
        if word == "lose":
            cluster.fleets[cell] = Fleet(0, 0)
        elif word == "find":
            cluster.fleets[cell] = Fleet(2, 0)
        elif word == "open":
            cluster.count["x", made.cell("x", now)] += 1
        elif word == "end":
            cluster.count.clear()
        step_migrations(made, now, cluster)
        assert made.cell("x", now) in "abc"
        assert made.version >= version
        migration = made.records.get("x")
        if migration is not None and not migration.has_ended():
            assert made.cell("x", now) in (migration.source, migration.target)
        version = made.version


# --- rates and plans ---


def test_rates_fade_and_are_bounded() -> None:
    rates = WorkRates()
    for second in range(600):
        rates.add("x", S // 2)
        rates.fold(second * S)
    assert 0.45 < rates.rate_at("x", 600 * S) < 0.55
    assert rates.rate_at("x", 600 * S + 5 * DECAY_SPAN_NS) < 0.01
    assert rates.rate_at("y", 0) == 0.0
    for i in range(10_000):
        rates.add(f"t{i}", 1)
        rates.fold(600 * S)
    assert len(rates.means) <= 4_097
    assert "x" in rates.means


LOADS = {f"t{i}": 1.0 + i % 5 for i in range(30)}
CELLS = {"a": 10.0, "b": 10.0, "c": 20.0}


def test_a_plan_balances_within_its_terms() -> None:
    now = dict.fromkeys(LOADS, "a")
    made = solve(plan.Problem(LOADS, CELLS, now, (("t1", "t2"),), {"t3": "b"}))
    assert max(made.loads_after.values()) <= 1.02 * sum(LOADS.values()) / 40 + 0.1
    assert made.moves == tuple(sorted(made.moves, key=lambda m: (-m[3], m[0])))
    few = solve(plan.Problem(LOADS, CELLS, now, max_moves=4))
    assert len(few.moves) <= 4
    assert max(few.loads_after.values()) < max(few.loads_before.values())
    still = solve(plan.Problem(LOADS, CELLS, now, max_moves=0))
    assert still.moves == ()
    assert plan.broken_constraints(plan.Problem(LOADS, CELLS, now), now) == []


@pytest.mark.parametrize(
    "terms",
    [
        {
            "separated_pairs": (
                ("t1", "t2"),
                ("t2", "t3"),
                ("t1", "t3"),
                ("t1", "t4"),
                ("t2", "t4"),
                ("t3", "t4"),
            )
        },
        {"max_load": 0.5},
        {"fixed_cells": {"t1": "b"}, "max_moves": 0},
    ],
)
def test_terms_that_no_placement_satisfies_are_told(terms: dict[str, Any]) -> None:
    with pytest.raises(NoPlanError, match="no placement satisfies"):
        solve(plan.Problem(LOADS, CELLS, dict.fromkeys(LOADS, "a"), **terms))


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[", "the file"),
        ("[]", "the file"),
        ('{"tenants": 3}', "tenants"),
        ('{"tenants": {}}', "tenants"),
        ('{"tenants": {"t": {"load": "x"}}}', "tenants.load"),
        ('{"tenants": {"t": {"load": 1}}}', "cells"),
        ('{"tenants": {"t": {"load": 1, "cell": "b"}}, "cells": {"a": 1}}', "tenants.cell"),
        ('{"tenants": {"t": {"load": -1, "cell": "a"}}, "cells": {"a": 1}}', "tenants.load"),
        ('{"tenants": {"t": {"load": 1, "cell": "a"}}, "cells": {"a": 0}}', "cells.capacity"),
        (
            '{"tenants": {"t": {"load": 1, "cell": "a"}}, "cells": {"a": 1}, '
            '"apart": [["t", "u"]]}',
            "apart",
        ),
        (
            '{"tenants": {"t": {"load": 1, "cell": "a"}}, "cells": {"a": 1}, "fixed": {"t": "z"}}',
            "fixed",
        ),
        (
            '{"tenants": {"t": {"load": 1, "cell": "a"}}, "cells": {"a": 1}, "most_moves": true}',
            "most_moves",
        ),
    ],
)
def test_a_problem_that_cannot_be_names_its_key(text: str, key: str) -> None:
    with pytest.raises(plan.PlanningProblemError, match=f"^{key}"):
        plan.read_problem(text)


def test_unreadable_problem_is_a_bad_problem_without_a_key() -> None:
    with pytest.raises(plan.UnreadableProblemError, match="^the file holds no JSON object$"):
        plan.read_problem("[]")


@pytest.mark.parametrize(
    ("used", "owed"),
    [
        pytest.param({"a": 50, "b": 50}, {}, id="within the total"),
        pytest.param({"a": 80, "b": 50}, {"a": 30}, id="one borrower"),
        pytest.param({"a": 70, "b": 90}, {"b": 40, "a": 20}, id="the largest borrower first"),
        pytest.param({"a": 60, "b": 60}, {"a": 10, "b": 10}, id="alike, in the cells' order"),
    ],
)
def test_use_beyond_the_total_is_owed_by_borrowers(
    used: dict[str, int], owed: dict[str, int]
) -> None:
    books = ledger()
    for name, amount in used.items():
        books.set_in_use(name, amount)
    assert list(books.amounts_over_total().items()) == list(owed.items())


class Connection:
    """A connection that reads with its turn and spends the complete round each time."""

    def __init__(self, turns: ReadTurns, cell: str) -> None:
        self.turns = turns
        self.cell = cell
        self.reads = 0

    def resume_reading(self) -> None:
        if self.turns.may_read(self):
            self.reads += 1
            self.turns.charge(self.cell, 100)


def test_a_connection_whose_turn_has_not_come_reads_in_the_next_round() -> None:
    turns = ReadTurns({"a": 1.0, "b": 1.0}, 100.0)
    greedy, modest = Connection(turns, "a"), Connection(turns, "b")
    greedy.resume_reading()
    modest.resume_reading()
    greedy.resume_reading()  # its cell is in debt and not alone: it waits
    assert (greedy.reads, modest.reads) == (1, 1)
    assert list(turns.queue) == [greedy]
    turns.next_round()  # nobody else is busy in this one
    assert greedy.reads == 2
    assert not turns.queue


def test_a_connection_that_ends_gives_up_its_turn() -> None:
    turns = ReadTurns({"a": 1.0, "b": 1.0}, 100.0)
    ending, other = Connection(turns, "a"), Connection(turns, "b")
    ending.resume_reading()
    other.resume_reading()
    ending.resume_reading()
    turns.discard(ending)
    for _ in range(5):
        turns.next_round()
    assert ending.reads == 1


def test_a_spread_tenants_part_number_has_one_spelling() -> None:
    cells = (Cell("a"), Cell("b"))
    spread = CellMap(1, cells, "a", {"x": Tenant("x", ("a", "b"), "route")})
    known = [
        part
        for part in ("0", "63", "64", "07", "-1", "٣", "", "x")
        if spread.is_migratable(f"x#{part}")
    ]
    assert known == ["0", "63"]
