"""Endpoints that are added, moved and removed: their numbers and their table entries."""

from __future__ import annotations

from query_broker.decisions.events import EndpointState
from query_broker.discovery.event_codec import parse_event
from query_broker.endpoints.endpoint_table import EndpointTable

from ..support.helpers import MS
from ..support.sockets import target_entry, topology_event
from .dispatchers import make_dispatcher


def test_an_endpoint_number_depends_on_the_uid_and_not_on_the_address() -> None:
    table = EndpointTable()
    other_table = EndpointTable()
    listed = table.apply_event(
        parse_event(topology_event(1, target_entry("a", 1), target_entry("b", 2), full=True))
    )
    other_table.apply_event(parse_event(topology_event(1, target_entry("b", 2), full=True)))
    assert other_table.number("b") == listed[1].endpoint  # all brokers give the same number
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


def test_removed_endpoints_are_forgotten() -> None:
    dispatcher = make_dispatcher()
    for generation in range(2, 400):
        targets = [
            target_entry(f"s-{generation}", 1 + generation % 2),
            target_entry(f"s-{generation - 1}", 1, "terminated"),
        ]
        # Half of the endpoints are never listed as terminated.
        dispatcher.endpoint_list_changed(
            parse_event(topology_event(generation, *targets[: 1 + generation % 2]))
        )
        dispatcher.pools.sweep(dispatcher.now())
    for table in (
        dispatcher.endpoint_table.by_uid,
        dispatcher.endpoint_table.by_number,
        dispatcher.pools.by_number,
        dispatcher.facade.controller.endpoints,
    ):
        assert 1 <= len(table) <= 2
    number = dispatcher.endpoint_table.number("s-399")
    dispatcher.endpoint_list_changed(
        parse_event(topology_event(400, target_entry("s-399", 1, "terminated")))
    )
    assert "s-399" not in dispatcher.endpoint_table.by_uid
    dispatcher.endpoint_list_changed(parse_event(topology_event(401, target_entry("s-399", 1))))
    # An endpoint that is listed again gets its former number.
    assert dispatcher.endpoint_table.by_uid["s-399"].number == number
