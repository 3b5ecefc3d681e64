"""Rate limit on reading from the new clients of a starting broker."""

from __future__ import annotations

from typing import cast

from query_broker.protocols.client_connection import ClientConnection
from query_broker.startup.client_gate import ClientGate
from query_broker.startup.pacing import RateLimiter

from ..support.helpers import MS, S

START_NS = 100 * S
INTERVAL_NS = 100 * MS


class RecordingClient:
    """A client connection that records whether it is read."""

    def __init__(self) -> None:
        self.is_read = True

    def defer_reading(self) -> None:
        self.is_read = False

    def resume_reading(self) -> None:
        self.is_read = True


def test_simultaneous_clients_are_read_in_order_at_the_rate() -> None:
    """Reading all clients at once delayed the answers to each of them (fixed in 54c06ff)."""
    gate = ClientGate(RateLimiter(S / INTERVAL_NS, START_NS))
    clients = [RecordingClient() for _ in range(4)]
    for client in clients:
        gate.connected(cast(ClientConnection, client), START_NS)
    assert [client.is_read for client in clients] == [True, False, False, False]
    gate.release_due(START_NS + INTERVAL_NS)
    assert [client.is_read for client in clients] == [True, True, False, False]
    gate.release_all()
    assert all(client.is_read for client in clients)


def test_new_client_is_not_read_before_deferred_clients() -> None:
    gate = ClientGate(RateLimiter(S / INTERVAL_NS, START_NS))
    first, deferred, last = (RecordingClient() for _ in range(3))
    gate.connected(cast(ClientConnection, first), START_NS)
    gate.connected(cast(ClientConnection, deferred), START_NS)
    gate.connected(cast(ClientConnection, last), START_NS + INTERVAL_NS)
    assert not last.is_read
    gate.release_due(START_NS + INTERVAL_NS)
    assert deferred.is_read
    assert not last.is_read
