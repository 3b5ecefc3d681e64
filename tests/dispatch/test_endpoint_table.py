"""Endpoints that come, move and go: their numbers, and what remains of them."""

from __future__ import annotations

from query_broker.decisions.events import EndpointState
from query_broker.discovery.event_codec import parse_event
from query_broker.endpoints.endpoint_table import EndpointTable

from ..support.helpers import MS
from ..support.sockets import target_entry, topology_event
from .dispatchers import make_dispatcher


def test_an_endpoint_s_number_follows_its_uid_whatever_its_address() -> None:
    table = EndpointTable()
    other_table = EndpointTable()
    listed = table.apply_event(
        parse_event(topology_event(1, target_entry("a", 1), target_entry("b", 2), full=True))
    )
    other_table.apply_event(parse_event(topology_event(1, target_entry("b", 2), full=True)))
    assert other_table.number("b") == listed[1].endpoint  # all brokers number them alike
    moved = table.apply_event(
        parse_event(topology_event(2, target_entry("c", 1, boot_ms=9), target_entry("b", 3)))
    )
    assert [(endpoint.endpoint, endpoint.state) for endpoint in moved] == [
        (listed[0].endpoint, EndpointState.REMOVED),
        (table.number("c"), EndpointState.READY),
        (listed[1].endpoint, EndpointState.READY),
    ]
    assert moved[1].started_ns == 9 * MS
    listed_again = table.apply_event(
        parse_event(topology_event(3, target_entry("a", 4), full=True))
    )
    assert [endpoint.endpoint for endpoint in listed_again] == [listed[0].endpoint]
    assert table.by_uid["b"].target.state is EndpointState.REMOVED


def test_endpoints_that_come_and_go_all_day_leave_nothing_behind() -> None:
    broker = make_dispatcher()
    for generation in range(2, 400):
        targets = [
            target_entry(f"s-{generation}", 1 + generation % 2),
            target_entry(f"s-{generation - 1}", 1, "terminated"),
        ]
        # half are never listed as terminated
        broker.endpoint_list_changed(
            parse_event(topology_event(generation, *targets[: 1 + generation % 2]))
        )
        broker.pools.sweep(broker.now())
    for table in (
        broker.endpoint_table.by_uid,
        broker.endpoint_table.by_number,
        broker.pools.by_number,
        broker.facade.controller.endpoints,
    ):
        assert 1 <= len(table) <= 2
    number = broker.endpoint_table.number("s-399")
    broker.endpoint_list_changed(
        parse_event(topology_event(400, target_entry("s-399", 1, "terminated")))
    )
    assert "s-399" not in broker.endpoint_table.by_uid
    broker.endpoint_list_changed(parse_event(topology_event(401, target_entry("s-399", 1))))
    # the same as every other broker gives it
    assert broker.endpoint_table.by_uid["s-399"].number == number
