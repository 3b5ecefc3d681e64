"""The fixture of the tests of what engines read."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import cast
from unittest.mock import create_autospec

import pytest

from query_broker.protocols.engine_connection import EngineConnection, EngineConnectionOwner

from .engine_connections import ENDPOINT, NOW, ConnectedEngine, SocketTransport


@pytest.fixture
def engine() -> Iterator[ConnectedEngine]:
    """An engine at the far end of a new connection."""
    near_socket, far_socket = socket.socketpair()
    near_socket.setblocking(False)
    far_socket.setblocking(False)
    owner = create_autospec(EngineConnectionOwner, instance=True)
    owner.now.return_value = NOW
    owner.may_proceed.return_value = True
    owner.carried_by_other_connection.return_value = False
    connection = EngineConnection(cast(EngineConnectionOwner, owner), ENDPOINT)
    connection.connection_made(SocketTransport(near_socket))
    yield ConnectedEngine(connection, far_socket)
    near_socket.close()
    far_socket.close()
