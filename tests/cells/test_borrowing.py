"""The ledger of quotas that cells borrow from each other."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_broker.cells import borrowing
from query_broker.cells.borrowing import Ledger

from .cell_brokers import NS_PER_SECOND


def make_ledger(total: int = 100, **weights: float) -> Ledger:
    """A ledger of this total, divided by these weights (by default equally between a and b)."""
    ledger = Ledger()
    ledger.divide(total, weights or {"a": 1.0, "b": 1.0})
    return ledger


def test_a_cell_borrows_unused_quota_except_the_reserved_fraction() -> None:
    ledger = make_ledger()
    taken = sum(ledger.acquire("a", 1, 0) for _ in range(200))
    assert taken == 100 - int(borrowing.RESERVED_FRACTION * 50)
    assert ledger.borrowed_amount("a") == taken - 50
    assert all(ledger.acquire("b", 1, 0) for _ in range(12))
    assert not ledger.acquire("b", 1, 0)


def test_borrowed_amounts_are_called_in_within_a_second_of_a_reclaim() -> None:
    ledger = make_ledger()
    while ledger.acquire("a", 1, 0):
        pass
    while ledger.acquire("b", 1, NS_PER_SECOND):  # needs quota that a has borrowed
        pass
    assert ledger.amounts_to_call_in(NS_PER_SECOND + borrowing.CALL_IN_DELAY_NS - 1) == {}
    assert borrowing.CALL_IN_DELAY_NS < NS_PER_SECOND
    amounts_to_give_back = ledger.amounts_to_call_in(NS_PER_SECOND + borrowing.CALL_IN_DELAY_NS)
    assert amounts_to_give_back == {"a": ledger.borrowed_amount("a")}
    ledger.release("a", amounts_to_give_back["a"])
    assert sum(ledger.acquire("b", 1, 2 * NS_PER_SECOND) for _ in range(100)) == 50 - 12
    assert not ledger.acquire("a", 1, 2 * NS_PER_SECOND)  # the owner has its complete quota
    ledger.release("b", 50)
    assert ledger.amounts_to_call_in(2 * NS_PER_SECOND + borrowing.RECLAIM_HOLD_NS + 1) == {}
    assert ledger.acquire("a", 1, 8 * NS_PER_SECOND)


def test_firm_use_is_never_borrowed() -> None:
    ledger = make_ledger()
    assert sum(ledger.acquire("a", 1, 0, firm=True) for _ in range(100)) == 50
    assert not ledger.acquire("a", 1, 0, firm=True)
    assert ledger.acquire("a", 1, 0)


@settings(max_examples=200)
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 30), st.booleans(), st.booleans()))
)
def test_no_ledger_gives_out_more_than_there_is(steps: list[tuple[str, int, bool, bool]]) -> None:
    ledger = make_ledger(97, a=1.0, b=2.0, c=0.5)
    reserved: list[tuple[str, int, bool]] = []
    for now, (name, amount, firm, take) in enumerate(steps):
        if take and ledger.acquire(name, amount, now, firm):
            reserved.append((name, amount, firm))
        elif not take and reserved:
            ledger.release(*reserved.pop())
        assert ledger.free() >= 0
        for cell, account in ledger.accounts.items():
            amounts = [amount for holder, amount, _ in reserved if holder == cell]
            assert account.in_use == sum(amounts)
            assert account.firm_in_use <= account.quota


def test_a_new_division_keeps_amounts_in_use_accounted() -> None:
    ledger = make_ledger()
    ledger.acquire("b", 40, 0)
    ledger.divide(100, {"a": 1.0})
    assert ledger.accounts["b"].quota == 0
    assert ledger.borrowed_amount("b") == 40
    assert not ledger.acquire("a", 61, 0)
    ledger.amounts_to_call_in(0)
    assert ledger.amounts_to_call_in(2 * NS_PER_SECOND) == {
        "b": 40
    }  # a cell without a quota has borrowed all that it uses
    ledger.release("b", 40)
    assert "b" not in ledger.accounts


@pytest.mark.parametrize(
    ("amounts_in_use", "amounts_to_give_back"),
    [
        pytest.param({"a": 50, "b": 50}, {}, id="within the total"),
        pytest.param({"a": 80, "b": 50}, {"a": 30}, id="one borrower"),
        pytest.param({"a": 70, "b": 90}, {"b": 40, "a": 20}, id="the largest borrower first"),
        pytest.param({"a": 60, "b": 60}, {"a": 10, "b": 10}, id="alike, in the cells' order"),
    ],
)
def test_borrowers_give_back_the_use_beyond_the_total(
    amounts_in_use: dict[str, int], amounts_to_give_back: dict[str, int]
) -> None:
    ledger = make_ledger()
    for name, amount in amounts_in_use.items():
        ledger.set_in_use(name, amount)
    assert list(ledger.amounts_over_total().items()) == list(amounts_to_give_back.items())
