"""The table of open requests."""

from __future__ import annotations

from query_broker.dispatch.request_table import RequestTable
from query_broker.dispatch.requests import ActiveRequest

from ..support.helpers import S
from ..support.sockets import STATEMENT


def test_a_request_is_removed_once() -> None:
    table = RequestTable()
    requests = [
        ActiveRequest(number, b"a" * 16, b"glance", STATEMENT, None, 1, S) for number in "12"
    ]
    for request in requests:
        table.add(request)
    assert table.statement_bytes == 2 * len(STATEMENT)
    assert table.remove(requests[0])
    assert not table.remove(requests[0])
    assert table.by_client_id == {b"a" * 16: [requests[1]]}
    assert table.remove(requests[1])
    assert not table.by_id
    assert not table.by_client_id
    assert not table.statement_bytes
