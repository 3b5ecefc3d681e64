"""The warm-up budget of an endpoint that changes cells, on a simulated clock."""

from __future__ import annotations

from query_broker.cells.router import Assignment, CellRouter
from query_broker.decisions.facade import (
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    Reject,
    RequestArrived,
)
from query_broker.timer_wheel import TimerWheel

from ..support.sockets import (
    MS,
    make_config,
)
from .cell_brokers import (
    NS_PER_SECOND,
    TENANTS,
    two_cells,
)


def lookup_arrival(number: int, tenant: str, estimate_ns: int = 200 * MS) -> RequestArrived:
    """The arrival of a lookup of the tenant."""
    timeout_ns = 5 * NS_PER_SECOND
    return RequestArrived(
        f"{number}", "glance", timeout_ns, tenant, None, estimate_ns, 1.0, -1, False
    )


def test_warm_up_work_of_the_former_cell_counts_in_the_next_cell() -> None:
    """With a separate warm-up budget in each cell, the engine would be overloaded."""
    config = make_config(tenants=TENANTS)
    now = 1_000 * NS_PER_SECOND
    router = CellRouter(
        config.settings, 1, now, TimerWheel(5 * MS, now), two_cells(), lambda number: f"s-{number}"
    )
    cold = EndpointEntry(1, EndpointState.READY, "east", "std", 0, 8.0, now - MS)
    router.report(now, EndpointListUpdate(ListUpdateKind.FULL, (cold,)))
    sent = 0
    for number in range(200):
        router.assignment = Assignment("acme", "a")
        sent += len(router.pick(now, lookup_arrival(number, "acme")).dispatches)
    assert sent == 14  # 0.36 x 8 cores x 1.5 s x 2, with a margin of 3
    router.apply_map(two_cells(2, engines_of_a=(), engines_of_b=("s-1",)), now + 10 * MS)
    for number in range(200, 400):
        router.assignment = Assignment("beta", "b")
        orders = router.pick(now + 10 * MS, lookup_arrival(number, "beta"))
        assert not orders.dispatches
        assert isinstance(orders.answers[0], Reject)
    router.report_former_cells(now + 3 * NS_PER_SECOND)  # the window has passed
    router.assignment = Assignment("beta", "b")
    assert router.pick(now + 3 * NS_PER_SECOND, lookup_arrival(400, "beta", 100 * MS)).dispatches
