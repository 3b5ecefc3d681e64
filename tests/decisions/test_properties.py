"""Random valid sequences of events, checked by a ledger of the orders, without engines."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from query_broker import decisions as api
from query_broker.config import parse_settings

from ..support import deployments
from ..support.helpers import MS, S, make_settings, query_class
from .ledger import ENGINES, Ledger

CLASSES = (
    query_class("short", deadline_ns=2 * S),
    query_class(
        "keyed",
        effect=api.Effect.IDEMPOTENCY_KEY,
        idempotency_window_ns=S,
        threads=2,
        ordered_by_key=True,
        is_load=True,
    ),
    query_class("unsafe", effect=api.Effect.NON_IDEMPOTENT, ordered_by_key=True),
    query_class("bound", allowed_kinds=("big",), threads=4, blocked_by_loads=True),
)


def own_settings() -> api.Settings:
    """Return settings with ordering by key, placement and a retry budget, and short durations."""
    base = make_settings(*CLASSES)
    contract = dataclasses.replace(
        base.contract, retry_budget_window_ns=2 * S, retry_budget_free=2.0, retry_budget_ratio=0.2
    )
    return dataclasses.replace(base, contract=contract)


SETTINGS = {
    "own": own_settings(),
    **{name: parse_settings(facts) for name, facts in deployments.ALL.items()},
}
STEP = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 11), st.sampled_from("km"), st.integers(-1, 3000)),
    st.tuples(
        st.just("end"),
        st.integers(0, 50),
        st.sampled_from(list(api.AttemptResult)),
        st.integers(1, 3000),
    ),
    st.tuples(st.just("depart"), st.integers(0, 50)),
    st.tuples(
        st.just("list"),
        st.sampled_from(ENGINES),
        st.sampled_from(list(api.EndpointState)),
        st.booleans(),
    ),
    st.tuples(st.just("wait"), st.integers(1, 1500)),
)


# With these steps a retry with an idempotency key left after its window (commit fa8de10).
DAY_WITH_A_LATE_RETRY: list[tuple[object, ...]] = [
    ("arrive", 1, "k", 1026),
    ("end", 0, api.AttemptResult.FULL, 1),
    ("wait", 1000),
    ("end", 0, api.AttemptResult.ERROR, 1),
]


@pytest.mark.parametrize("name", SETTINGS)
@settings(derandomize=True, max_examples=250, deadline=None)
@given(steps=st.lists(STEP, max_size=60))
@example(steps=DAY_WITH_A_LATE_RETRY)
def test_rules_hold_on_arbitrary_days(name: str, steps: list[tuple[object, ...]]) -> None:
    ledger = Ledger(SETTINGS[name])
    classes = ledger.settings.classes
    for step in steps:
        match step:
            case ("arrive", int(which), str(key), int(patience)):
                ledger.arrive(classes[which % len(classes)], key, patience)
            case ("end", int(index), api.AttemptResult() as result, int(latency)):
                ledger.end(index, result, latency)
            case ("depart", int(index)):
                open_ones = [n for n in ledger.order if n not in ledger.over]
                if open_ones:
                    leaving = open_ones[index % len(open_ones)]
                    ledger.over[leaving] = ledger.harness.now
                    ledger.harness.do(api.RequestAbandoned(leaving))
            case ("list", int(engine), api.EndpointState() as state, bool(fresh)):
                ledger.listed[engine] = state
                update = ledger.entry(
                    engine, state=state, started_ns=ledger.harness.now if fresh else 0
                )
                ledger.harness.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, (update,)))
            case ("wait", int(span)):
                ledger.harness.pass_time(span * MS)
        ledger.check()
    ledger.harness.pass_time(6 * S)
    ledger.check()
    assert set(ledger.order) == set(ledger.over), "a request without a final answer"
    for request, number in sorted(ledger.out):
        ledger.harness.end(request, api.AttemptResult.CANCELLED, number, finished=True)
    ledger.harness.pass_time(S)
    ledger.check()
    assert ledger.harness.backlog() == 0
