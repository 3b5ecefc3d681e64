"""Golden form of the membership's datagrams."""

from __future__ import annotations

import msgspec
import pytest

from query_broker.membership import messages
from query_broker.membership.messages import Claim, Envelope, Identity, Message, Status

from .members import INSTALLATION, OWN, OWN_ID, PEER, PEER_ID, fresh_codec

DATAGRAMS: dict[str, tuple[Message, bytes]] = {
    "ping": (
        messages.Ping(42),
        (
            b"lm\x01\x07\x04U\x9f\xa9\xc5(cZ\xff Y\xb2\xdd\xb2"
            b"\xae\xa6\x95\xa7atlanta\xc4\x0cboot-"
            b"of-two!\xcd\x01,\x9a\x92\xad10.0."
            b"0.1:7000\xc4\x0cboot-of-"
            b"one!\x03\x00\xc4\x0cproof-of-o"
            b"ne\xc4\x0cleave-of-one\xa0\x01"
            b"\xa6zone-a\x01\x00\x94\x01*\xa0\x90"
        ),
    ),
    "ping for another, with a claim": (
        messages.Ping(42, "10.0.0.3:7000", (PEER,)),
        (
            b"lm\x01\x07\xb5\xcc\x10\x87\x8b\xbe\xc1\r[|\xe5\x81\xe7J"
            b"\n\xef\x95\xa7atlanta\xc4\x0cboot-"
            b"of-two!\xcd\x01,\x9a\x92\xad10.0."
            b"0.1:7000\xc4\x0cboot-of-"
            b"one!\x03\x00\xc4\x0cproof-of-o"
            b"ne\xc4\x0cleave-of-one\xa0\x01"
            b"\xa6zone-a\x01\x00\x94\x01*\xad10.0."
            b"0.3:7000\x91\x9a\x92\xad10.0.0"
            b".2:7000\xc4\x0cboot-of-t"
            b"wo!\xcd\x01\x02\x01\xc4\x0cproof-of-"
            b"two\xc4\x0cleave-of-two\xad"
            b"10.0.0.3:7000\x02\xa6zon"
            b"e-b\x02\xce\x00\x01\x11p"
        ),
    ),
    "indirect ping": (
        messages.IndirectPing(7, PEER_ID, (PEER,)),
        (
            b"lm\x01\x07\xbc\xfa\\\xce\xa1\x8f]\x88\x95O\xe9\xaej\xc5"
            b"\xe2\x84\x95\xa7atlanta\xc4\x0cboot-"
            b"of-two!\xcd\x01,\x9a\x92\xad10.0."
            b"0.1:7000\xc4\x0cboot-of-"
            b"one!\x03\x00\xc4\x0cproof-of-o"
            b"ne\xc4\x0cleave-of-one\xa0\x01"
            b"\xa6zone-a\x01\x00\x94\x02\x07\x92\xad10.0"
            b".0.2:7000\xc4\x0cboot-of"
            b"-two!\x91\x9a\x92\xad10.0.0.2:"
            b"7000\xc4\x0cboot-of-two!"
            b"\xcd\x01\x02\x01\xc4\x0cproof-of-two"
            b"\xc4\x0cleave-of-two\xad10."
            b"0.0.3:7000\x02\xa6zone-b"
            b"\x02\xce\x00\x01\x11p"
        ),
    ),
    "ack, short": (
        messages.Ack(7, OWN_ID),
        (
            b"lm\x01\x07\xd7\xaa\xcd\xf6\x1aq\x84h)\xea\xc9\xa1\x93\x9a"
            b"\x8f\x95\x95\xa7atlanta\xc4\x0cboot-"
            b"of-two!\xcd\x01,\x9a\x92\xad10.0."
            b"0.1:7000\xc4\x0cboot-of-"
            b"one!\x03\x00\xc4\x0cproof-of-o"
            b"ne\xc4\x0cleave-of-one\xa0\x01"
            b"\xa6zone-a\x01\x00\x96\x03\x07\x92\xad10.0"
            b".0.1:7000\xc4\x0cboot-of"
            b"-one!\xff\xc4\x00\x90"
        ),
    ),
    "ack": (
        messages.Ack(7, OWN_ID, 350, b"digest-8", (PEER,)),
        (
            b"lm\x01\x07p\x14_\xa3\xdf\xf5\xddq\xf5)\xee\xf8lx"
            b"G\xc9\x95\xa7atlanta\xc4\x0cboot-"
            b"of-two!\xcd\x01,\x9a\x92\xad10.0."
            b"0.1:7000\xc4\x0cboot-of-"
            b"one!\x03\x00\xc4\x0cproof-of-o"
            b"ne\xc4\x0cleave-of-one\xa0\x01"
            b"\xa6zone-a\x01\x00\x96\x03\x07\x92\xad10.0"
            b".0.1:7000\xc4\x0cboot-of"
            b"-one!\xcd\x01^\xc4\x08digest-8"
            b"\x91\x9a\x92\xad10.0.0.2:7000\xc4"
            b"\x0cboot-of-two!\xcd\x01\x02\x01\xc4"
            b"\x0cproof-of-two\xc4\x0clea"
            b"ve-of-two\xad10.0.0.3"
            b":7000\x02\xa6zone-b\x02\xce\x00\x01\x11"
            b"p"
        ),
    ),
    "nack": (
        messages.Nack(65_536),
        (
            b"lm\x01\x07\x8ej\xef<\xae\xd9\xae(n\xfc{\xa2\x9c\xd5"
            b"\t)\x95\xa7atlanta\xc4\x0cboot-"
            b"of-two!\xcd\x01,\x9a\x92\xad10.0."
            b"0.1:7000\xc4\x0cboot-of-"
            b"one!\x03\x00\xc4\x0cproof-of-o"
            b"ne\xc4\x0cleave-of-one\xa0\x01"
            b"\xa6zone-a\x01\x00\x92\x04\xce\x00\x01\x00\x00"
        ),
    ),
    "sync": (
        messages.Sync(b"digest-8", True, (OWN, PEER)),
        (
            b"lm\x01\x075\x0b\xa42?\xe4/\nt\xb8\xa2\xacy\x1f"
            b"\x02\xdf\x95\xa7atlanta\xc4\x0cboot-"
            b"of-two!\xcd\x01,\x9a\x92\xad10.0."
            b"0.1:7000\xc4\x0cboot-of-"
            b"one!\x03\x00\xc4\x0cproof-of-o"
            b"ne\xc4\x0cleave-of-one\xa0\x01"
            b"\xa6zone-a\x01\x00\x94\x05\xc4\x08diges"
            b"t-8\xc3\x92\x9a\x92\xad10.0.0.1:7"
            b"000\xc4\x0cboot-of-one!\x03"
            b"\x00\xc4\x0cproof-of-one\xc4\x0cl"
            b"eave-of-one\xa0\x01\xa6zone"
            b"-a\x01\x00\x9a\x92\xad10.0.0.2:70"
            b"00\xc4\x0cboot-of-two!\xcd\x01"
            b"\x02\x01\xc4\x0cproof-of-two\xc4\x0c"
            b"leave-of-two\xad10.0."
            b"0.3:7000\x02\xa6zone-b\x02\xce"
            b"\x00\x01\x11p"
        ),
    ),
    "topic message": (
        messages.TopicMessage("limits", b"\x92\x05\x90"),
        (
            b"lm\x01\x07\xd9\xd9\xdb\xb3%\xd8\x02\xfcO\xa2e_\xa32"
            b"_\x1b\x95\xa7atlanta\xc4\x0cboot-"
            b"of-two!\xcd\x01,\x9a\x92\xad10.0."
            b"0.1:7000\xc4\x0cboot-of-"
            b"one!\x03\x00\xc4\x0cproof-of-o"
            b"ne\xc4\x0cleave-of-one\xa0\x01"
            b"\xa6zone-a\x01\x00\x93\x06\xa6limits"
            b"\xc4\x03\x92\x05\x90"
        ),
    ),
}


@pytest.mark.parametrize(("message", "expected"), DATAGRAMS.values(), ids=DATAGRAMS)
def test_datagram_is_written_byte_for_byte(message: Message, expected: bytes) -> None:
    writer = fresh_codec()
    writer.sequence = 299
    assert writer.write(PEER_ID, OWN, message) == expected


@pytest.mark.parametrize(("message", "expected"), DATAGRAMS.values(), ids=DATAGRAMS)
def test_datagram_is_read_byte_for_byte(message: Message, expected: bytes) -> None:
    envelope = fresh_codec().read(expected)
    assert envelope == Envelope(INSTALLATION, PEER_ID.boot, 300, OWN, message)


def test_every_message_type_of_the_membership_is_pinned() -> None:
    assert {type(message) for message, _ in DATAGRAMS.values()} == set(Message.__args__)


@pytest.mark.parametrize(
    ("protocol", "peer_protocol", "head"),
    [
        pytest.param(1, 1, b"lm\x01\x07", id="both speak protocol 1"),
        pytest.param(1, 9, b"lm\x01\x07", id="peer speaks a newer protocol"),
        pytest.param(2, 9, b"lm\x02\x07", id="protocol 2, peer speaks a newer one"),
        pytest.param(3, 2, b"lm\x02\x07", id="peer speaks an older protocol"),
    ],
)
def test_datagram_head_names_protocol_and_key(
    protocol: int, peer_protocol: int, head: bytes
) -> None:
    data = fresh_codec(protocol).write(PEER_ID, OWN, messages.Ping(1), peer_protocol)
    assert data[:4] == head


@pytest.mark.parametrize(
    ("status", "number"),
    [
        (Status.ALIVE, 0),
        (Status.SUSPECT, 1),
        (Status.DEAD, 2),
        (Status.LEFT, 3),
        (Status.EVIDENCE, 4),
    ],
)
def test_status_in_a_claim(status: Status, number: int) -> None:
    claim = Claim(Identity("a:1", b"b"), 5, status, b"p", b"l")
    before = b"\x9a\x92\xa3a:1\xc4\x01b\x05"
    after = b"\xc4\x01p\xc4\x01l\xa0\x00\xa0\x01\x00"
    expected = before + bytes((number,)) + after
    assert msgspec.msgpack.encode(claim) == expected
    decoder: msgspec.msgpack.Decoder[Claim] = msgspec.msgpack.Decoder(Claim)
    assert decoder.decode(expected) == claim
