"""Deficit round robin over cells, and the scheduling of their connections' reads."""

from __future__ import annotations

from collections import Counter

from query_broker.cells.fair_turns import DeficitRoundRobin
from query_broker.cells.read_turns import ReadTurns


def test_competing_cells_get_equal_time_for_equal_weights() -> None:
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


def test_the_only_active_cell_gets_the_complete_round() -> None:
    charged = 0.0
    turns = DeficitRoundRobin({"a": 1.0, "b": 9.0}, 100.0)
    while turns.may_proceed("a"):
        turns.charge("a", 7.0)
        charged += 7.0
    assert charged >= 100.0  # not only its quantum, a tenth of the round
    turns.charge("b", 1.0)
    assert not turns.may_proceed("a")
    assert turns.may_proceed("b")


def test_debt_is_bounded_and_new_weights_replace_the_cells() -> None:
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
    turns.charge("a", 1.0)  # ignored, since cell a is no longer known


class ReadingConnection:
    """A connection that uses the complete round with each read."""

    def __init__(self, turns: ReadTurns, cell: str) -> None:
        self.turns = turns
        self.cell = cell
        self.reads = 0

    def resume_reading(self) -> None:
        """Read if the connection may read now, else stay queued."""
        if self.turns.may_read(self):
            self.reads += 1
            self.turns.charge(self.cell, 100)


def test_a_connection_of_a_cell_in_debt_reads_in_the_next_round() -> None:
    turns = ReadTurns({"a": 1.0, "b": 1.0}, 100.0)
    greedy = ReadingConnection(turns, "a")
    modest = ReadingConnection(turns, "b")
    greedy.resume_reading()
    modest.resume_reading()
    greedy.resume_reading()  # waits: its cell is in debt and another cell is active
    assert (greedy.reads, modest.reads) == (1, 1)
    assert list(turns.queue) == [greedy]
    turns.next_round()  # no other cell is active in this round
    assert greedy.reads == 2
    assert not turns.queue


def test_a_closing_connection_leaves_the_read_queue() -> None:
    turns = ReadTurns({"a": 1.0, "b": 1.0}, 100.0)
    ending = ReadingConnection(turns, "a")
    other = ReadingConnection(turns, "b")
    ending.resume_reading()
    other.resume_reading()
    ending.resume_reading()
    turns.discard(ending)
    for _ in range(5):
        turns.next_round()
    assert ending.reads == 1
