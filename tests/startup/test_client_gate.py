"""New clients of a starting broker are read one after the other."""

from __future__ import annotations

from typing import cast

from query_broker.protocols.client_connection import ClientConnection
from query_broker.startup.client_gate import ClientGate
from query_broker.startup.pacing import RateLimiter

from ..support.helpers import MS, S

BEGIN_NS = 100 * S
INTERVAL_NS = 100 * MS


class RecordingClient:
    """A client connection that records whether it is read."""

    def __init__(self) -> None:
        self.is_read = True

    def defer_reading(self) -> None:
        self.is_read = False

    def resume_reading(self) -> None:
        self.is_read = True


def test_clients_that_come_together_are_read_at_the_rate_in_their_order() -> None:
    """Past fix 54c06ff: all of them were read at once, and the answers to each came late."""
    gate = ClientGate(RateLimiter(S / INTERVAL_NS, BEGIN_NS))
    clients = [RecordingClient() for _ in range(4)]
    for client in clients:
        gate.connected(cast(ClientConnection, client), BEGIN_NS)
    assert [client.is_read for client in clients] == [True, False, False, False]
    gate.release_due(BEGIN_NS + INTERVAL_NS)
    assert [client.is_read for client in clients] == [True, True, False, False]
    gate.release_all()
    assert all(client.is_read for client in clients)


def test_a_client_that_comes_behind_deferred_ones_is_not_read_before_them() -> None:
    gate = ClientGate(RateLimiter(S / INTERVAL_NS, BEGIN_NS))
    first, deferred, last = (RecordingClient() for _ in range(3))
    gate.connected(cast(ClientConnection, first), BEGIN_NS)
    gate.connected(cast(ClientConnection, deferred), BEGIN_NS)
    gate.connected(cast(ClientConnection, last), BEGIN_NS + INTERVAL_NS)
    assert not last.is_read
    gate.release_due(BEGIN_NS + INTERVAL_NS)
    assert deferred.is_read
    assert not last.is_read
