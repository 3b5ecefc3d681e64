"""The placement of endpoints in cells, and when it changes."""

from __future__ import annotations

from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from query_broker.cells.model import Cell, CellMap
from query_broker.cells.placement import Placement

from .cell_maps import endpoints_seen, make_cell_map


def numbered(numbers: Iterable[int]) -> list[str]:
    """The uids of the endpoints with these numbers."""
    return [f"s-{number}" for number in numbers]


@given(st.lists(st.integers(0, 40), unique=True, min_size=1), st.integers(0, 40))
def test_an_engine_that_joins_or_leaves_moves_no_other(numbers: list[int], other: int) -> None:
    bounded = CellMap(
        1,
        (
            Cell("a", 2.0, max_endpoints=8),
            Cell("b", min_endpoints=3),
            Cell("c", min_endpoints=0, max_endpoints=5),
        ),
        "a",
    )
    placement = Placement(bounded)
    placement.apply_list_update(endpoints_seen(*numbered(numbers)))
    before = dict(placement.seats)
    changes = placement.apply_list_update(endpoints_seen(f"s-{other}"))
    assert {uid: placement.seats[uid] for uid in before} == before
    assert len(changes) == (f"s-{other}" not in before)
    placement.apply_list_update([], [f"s-{other}"])
    unaffected = {uid: cell for uid, cell in before.items() if uid != f"s-{other}"}
    assert all(placement.seats[uid] == cell for uid, cell in unaffected.items())
    assert placement.size("a") <= 8
    assert placement.size("c") <= 5
    again = Placement(bounded)
    again.apply_list_update(endpoints_seen(*numbered(numbers)))
    assert again.seats == before  # the same events give the same seats everywhere


def test_cells_get_endpoints_in_proportion_to_their_weights() -> None:
    placement = Placement(
        CellMap(1, (Cell("a", 3.0, min_endpoints=0), Cell("b", 1.0, min_endpoints=0)), "a")
    )
    placement.apply_list_update(endpoints_seen(*numbered(range(1_000))))
    assert 700 < placement.size("a") < 800


def test_pins_and_lower_bounds_determine_the_cell() -> None:
    pinned = Placement(
        CellMap(1, (Cell("a", min_endpoints=2), Cell("b", engines=("s-1",), zones=("y",))), "a")
    )
    pinned.apply_list_update(
        [*endpoints_seen("s-1"), *endpoints_seen("s-2", zone="y"), *endpoints_seen("s-3", "s-4")]
    )
    assert pinned.seats == {"s-1": "b", "s-2": "b", "s-3": "a", "s-4": "a"}


def test_draining_endpoints_do_not_count_against_the_bounds() -> None:
    placement = Placement(
        CellMap(1, tuple(Cell(name, min_endpoints=3, max_endpoints=3) for name in "ab"), "a")
    )
    placement.apply_list_update(endpoints_seen(*numbered(range(6))))
    for number in range(6):
        old_uid = f"s-{number}"
        home = placement.seat_of(old_uid)
        placement.apply_list_update(endpoints_seen(old_uid, ready=False))
        placement.apply_list_update(endpoints_seen(f"n-{number}"))
        placement.apply_list_update([], [old_uid])
        assert placement.seat_of(f"n-{number}") == home
        assert placement.size("a") == placement.size("b") == 3
    placement.apply_list_update(endpoints_seen("extra"))
    assert placement.seat_of("extra") is None  # every cell is full
    placement.apply_list_update([], ["n-0"])
    assert placement.seat_of("extra") is not None


def test_a_new_map_moves_no_more_endpoints_than_needed() -> None:
    placement = Placement(make_cell_map("a", "b", "c"))
    placement.apply_list_update(endpoints_seen(*numbered(range(30))))
    before = dict(placement.seats)
    changes = placement.apply_map(make_cell_map("a", "b", epoch=2))
    assert {change.uid for change in changes} == {
        uid for uid, cell in before.items() if cell == "c"
    }
    assert all(change.new_cell in ("a", "b") for change in changes)
    placement.apply_map(
        CellMap(3, (Cell("a"), Cell("b", max_endpoints=4), Cell("d", min_endpoints=5)), "a")
    )
    assert placement.size("b") <= 4
    assert placement.size("d") >= 5
    assert None not in placement.seats.values()
    co_process = Placement(placement.map)
    co_process.apply_list_update(endpoints_seen(*numbered(range(30))))
    co_process.adopt(placement.seats)
    assert co_process.seats == placement.seats
