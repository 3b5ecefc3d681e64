"""Golden form of the member table that two members exchange over TCP."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any, NamedTuple, cast

import msgspec
import pytest

from query_broker.membership.failure_detector import FailureDetector
from query_broker.membership.incarnations import IncarnationChain
from query_broker.membership.member_record import MemberRecord
from query_broker.membership.message_exchange import MessageExchange
from query_broker.membership.messages import Sync
from query_broker.membership.settings import MembershipSettings
from query_broker.membership.table_exchange import TableExchange
from query_broker.membership.traffic import TrafficCounters

from .members import INSTALLATION, OWN, OWN_ID, PEER, PEER_ID, fresh_codec


class TableFrame(NamedTuple):
    """What a frame says and its bytes."""

    is_request: bool
    with_claims: bool
    expected: bytes


@pytest.fixture
def exchange() -> TableExchange:
    """The exchange of tables of a member that knows one other; it opens no socket."""
    chain = IncarnationChain(b"a fixed seed")
    detector = FailureDetector(
        OWN_ID.address,
        MembershipSettings(installation=INSTALLATION),
        chain,
        random.Random(1),
        0,
        OWN.ordinal,
        OWN.zone,
    )
    detector.table.records[PEER_ID] = MemberRecord(
        PEER_ID,
        PEER.incarnation,
        PEER.incarnation_proof,
        PEER.leave_proof,
        PEER.status,
        status_since_ns=0,
        ordinal=PEER.ordinal,
        zone=PEER.zone,
        max_protocol=PEER.max_protocol,
        reporter=PEER.reporter,
    )
    host = cast(Any, SimpleNamespace(now_ns=lambda: 0))
    return TableExchange(MessageExchange(detector, fresh_codec(), TrafficCounters(), host))


FRAMES: dict[str, TableFrame] = {
    "request without claims": TableFrame(
        True,
        False,
        (
            b"\x00\x00\x00ulm\x01\x07\xd1\xf9\x84QMP%\xa7\x870"
            b"\xe3r-\x03{\xe9\x95\xa7atlanta\xc4\x00\x01"
            b"\x9a\x92\xad10.0.0.1:7000\xc4\x0c"
            b"l\t\xff(ud\xcd\x13?\xeeX0\x00\x00\xc4\x0c\x87\xb1"
            b"\xe7\x1f\xd0\xf10\xfcS\xce&\xb1\xc4\x0cZHF\x14(\x97"
            b"\xb0(\xf2\x8dN\xd6\xa0\x01\xa6zone-a\x01\x00\x94"
            b"\x05\xc4\x08\x02\xfdb\x0ch\xe0\x8e\xe4\xc3\x90"
        ),
    ),
    "answer with the complete table": TableFrame(
        False,
        True,
        (
            b"\x00\x00\x01\x12lm\x01\x07\xe9@\xfc\t\xae\xc7\x9e\xd4Rt"
            b"\x97\xa7C8\xf17\x95\xa7atlanta\xc4\x00\x01"
            b"\x9a\x92\xad10.0.0.1:7000\xc4\x0c"
            b"l\t\xff(ud\xcd\x13?\xeeX0\x00\x00\xc4\x0c\x87\xb1"
            b"\xe7\x1f\xd0\xf10\xfcS\xce&\xb1\xc4\x0cZHF\x14(\x97"
            b"\xb0(\xf2\x8dN\xd6\xa0\x01\xa6zone-a\x01\x00\x94"
            b"\x05\xc4\x08\x02\xfdb\x0ch\xe0\x8e\xe4\xc2\x92\x9a\x92\xad10"
            b".0.0.1:7000\xc4\x0cl\t\xff(u"
            b"d\xcd\x13?\xeeX0\x00\x00\xc4\x0c\x87\xb1\xe7\x1f\xd0\xf10"
            b"\xfcS\xce&\xb1\xc4\x0cZHF\x14(\x97\xb0(\xf2\x8dN"
            b"\xd6\xa0\x01\xa6zone-a\x01\x00\x9a\x92\xad10."
            b"0.0.2:7000\xc4\x0cboot-o"
            b"f-two!\xcd\x01\x02\x01\xc4\x0cproof-"
            b"of-two\xc4\x0cleave-of-t"
            b"wo\xad10.0.0.3:7000\x02\xa6"
            b"zone-b\x02\x00"
        ),
    ),
}


@pytest.mark.parametrize("frame", FRAMES.values(), ids=FRAMES)
def test_table_frame_is_written_byte_for_byte(exchange: TableExchange, frame: TableFrame) -> None:
    written: list[bytes] = []
    writer = cast(Any, SimpleNamespace(write=written.append))
    exchange.write_frame(writer, exchange.table_message(frame.is_request, frame.with_claims))
    assert written == [frame.expected]


@pytest.mark.parametrize("frame", FRAMES.values(), ids=FRAMES)
def test_table_frame_is_read_byte_for_byte(exchange: TableExchange, frame: TableFrame) -> None:
    async def read() -> Sync:
        reader = asyncio.StreamReader()
        reader.feed_data(frame.expected)
        return await exchange.read_frame(reader)

    sync = asyncio.run(read())
    assert sync.digest.hex() == "02fd620c68e08ee4"
    assert sync.is_request == frame.is_request
    assert len(sync.claims) == (2 if frame.with_claims else 0)
    if frame.with_claims:
        assert sync.claims[1] == msgspec.structs.replace(PEER, sequence=0)
