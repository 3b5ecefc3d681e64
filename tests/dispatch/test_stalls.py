"""Stalls of the process while clients come: what lies unread is neither lost nor judged."""

from __future__ import annotations

import socket

import pytest

from query_broker.protocols import client_frames as frames

from ..protocols.scripted_engines import broker_with_engines
from ..support.sockets import Engine, on_uvloop, until
from .request_frames import read_to_the_end_of, request_frame

pytestmark = pytest.mark.real_time

SERVED_ANSWER = frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n")


@on_uvloop
async def test_a_connection_with_an_unread_request_is_not_evicted_for_a_new_one() -> None:
    """In a crowd after a stall the broker closed the connection of a request that lay unread.

    A new connection comes first in the turn after a stall: the event loop accepts before it reads.
    The connection that was idle longest, as far as had been read, was closed over the request,
    whose client saw "Connection reset by peer".
    """
    async with broker_with_engines(Engine()) as rig:
        admission = rig.node.admission
        with socket.create_connection(("127.0.0.1", rig.port)) as raw:
            await until(lambda: len(admission.connections) == 1)
            idle = await rig.client()
            await until(lambda: len(admission.connections) == 2)
            admission.max_connections = 2
            raw.sendall(request_frame(1))
            assert admission.has_place()  # the loop has had no turn since
            await read_to_the_end_of(raw, SERVED_ANSWER)
            assert await idle.ended()
