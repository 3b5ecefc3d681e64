"""The turns of cells, and of the connections that read in them."""

from __future__ import annotations

from collections import Counter

from query_broker.cells.fair_turns import DeficitRoundRobin
from query_broker.cells.read_turns import ReadTurns


def test_crowded_cells_get_their_quotas() -> None:
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


def test_a_cell_alone_gets_the_complete_round() -> None:
    alone = 0.0
    turns = DeficitRoundRobin({"a": 1.0, "b": 9.0}, 100.0)
    while turns.may_proceed("a"):
        turns.charge("a", 7.0)
        alone += 7.0
    assert alone >= 100.0  # not a tenth
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
    turns.charge("a", 1.0)  # a connection of a cell that has been dropped


class ReadingConnection:
    """A connection that reads with its turn and spends the complete round each time."""

    def __init__(self, turns: ReadTurns, cell: str) -> None:
        self.turns = turns
        self.cell = cell
        self.reads = 0

    def resume_reading(self) -> None:
        """Read if it is this connection's turn."""
        if self.turns.may_read(self):
            self.reads += 1
            self.turns.charge(self.cell, 100)


def test_a_connection_whose_turn_has_not_come_reads_in_the_next_round() -> None:
    turns = ReadTurns({"a": 1.0, "b": 1.0}, 100.0)
    greedy = ReadingConnection(turns, "a")
    modest = ReadingConnection(turns, "b")
    greedy.resume_reading()
    modest.resume_reading()
    greedy.resume_reading()  # its cell is in debt and not alone: it waits
    assert (greedy.reads, modest.reads) == (1, 1)
    assert list(turns.queue) == [greedy]
    turns.next_round()  # no other connection is busy in this one
    assert greedy.reads == 2
    assert not turns.queue


def test_a_connection_that_ends_gives_up_its_turn() -> None:
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
