"""Golden forms of what a broker says to its peers: every expected value is a literal.

A change here breaks the talk with brokers of the version before: no rename may alter one of them.
"""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from query_broker.membership import codec, keys, messages
from query_broker.membership import incarnations as chain
from query_broker.membership import member_table as table
from query_broker.membership.failure_detector import FailureDetector
from query_broker.membership.member_record import MemberRecord
from query_broker.membership.message_exchange import MessageExchange
from query_broker.membership.messages import Claim, Envelope, Identity, Message, Status
from query_broker.membership.settings import MembershipSettings
from query_broker.membership.table_exchange import TableExchange
from query_broker.membership.traffic import TrafficCounters
from query_broker.outlier_consensus import messages as consensus_messages
from query_broker.outlier_consensus import observations, overrides
from query_broker.outlier_consensus import service as consensus_service
from query_broker.outlier_consensus.settings import OutlierConsensusSettings
from query_broker.quotas import counters, sharding
from query_broker.quotas import messages as quota_messages
from query_broker.quotas import service as quota_service

S = 1_000_000_000
RING = keys.parse_keys("7 " + "ab" * 32)
OWN_ID = Identity("10.0.0.1:7000", b"boot-of-one!")
PEER_ID = Identity("10.0.0.2:7000", b"boot-of-two!")
OWN = Claim(OWN_ID, 3, Status.ALIVE, b"proof-of-one", b"leave-of-one", "", 1, "zone-a")
PEER = Claim(
    PEER_ID,
    258,
    Status.SUSPECT,
    b"proof-of-two",
    b"leave-of-two",
    "10.0.0.3:7000",
    2,
    "zone-b",
    2,
    70_000,
)


def fresh_codec(protocol: int = 1) -> codec.Codec:
    return codec.Codec("atlanta", RING, protocol)


# --- datagrams of the membership ---

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
    "talk": (
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
def test_datagram_is_written_and_read_byte_for_byte(message: Message, expected: bytes) -> None:
    writer = fresh_codec()
    writer.sequence = 299
    assert writer.write(PEER_ID, OWN, message) == expected
    envelope = fresh_codec().read(expected)
    assert envelope == Envelope("atlanta", b"boot-of-two!", 300, OWN, message)


def test_every_message_type_of_the_membership_is_pinned() -> None:
    assert {type(message) for message, _ in DATAGRAMS.values()} == set(Message.__args__)


@pytest.mark.parametrize(
    ("protocol", "speaks", "head"),
    [(1, 1, b"lm\x01\x07"), (1, 9, b"lm\x01\x07"), (2, 9, b"lm\x02\x07"), (3, 2, b"lm\x02\x07")],
)
def test_datagram_head_names_protocol_and_key(protocol: int, speaks: int, head: bytes) -> None:
    data = fresh_codec(protocol).write(PEER_ID, OWN, messages.Ping(1), speaks)
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
    before, after = b"\x9a\x92\xa3a:1\xc4\x01b\x05", b"\xc4\x01p\xc4\x01l\xa0\x00\xa0\x01\x00"
    expected = before + bytes((number,)) + after
    assert msgspec.msgpack.encode(claim) == expected
    decoder: msgspec.msgpack.Decoder[Claim] = msgspec.msgpack.Decoder(Claim)
    assert decoder.decode(expected) == claim


# --- hashes of the membership ---


def test_keyed_hash_of_a_datagram() -> None:
    mac = codec.message_mac(b"k" * 32, b"head", b"body")
    assert mac.hex() == "71b21e06030c3bc1ea09ddce053fd75c"


def test_hashes_of_an_incarnation_chain() -> None:
    assert chain.next_hash(b"value").hex() == "f6600599a22a873939fece88"
    assert chain.boot_identifier(b"top", b"leave").hex() == "d7c1b6d8c1adf0586c9a30a8"


def test_chain_of_a_fixed_seed() -> None:
    own = chain.IncarnationChain(b"a fixed seed")
    assert own.boot.hex() == "6c09ff287564cd133fee5830"
    assert own.top.hex() == "87b1e71fd0f130fc53ce26b1"
    assert own.leave_secret.hex() == "57c32af884470490331b26b2"
    assert own.leave_commitment.hex() == "5a4846142897b028f28d4ed6"
    proofs = [own.proof(number).hex() for number in (0, 1, 128, 16_384)]
    assert proofs == [
        "87b1e71fd0f130fc53ce26b1",
        "45a621f0ddba6e648c72d13d",
        "bfa10ae07fe9e66d5d7d8d7d",
        "355b9846048ebcbc4834c039",
    ]
    boot = bytes.fromhex("6c09ff287564cd133fee5830")
    proof = bytes.fromhex("bfa10ae07fe9e66d5d7d8d7d")
    leave = bytes.fromhex("5a4846142897b028f28d4ed6")
    assert chain.is_proven(boot, 128, proof, leave, None)


def test_digest_of_a_view_does_not_depend_on_the_order() -> None:
    expected = "f5b0718a950d5a5c"
    assert table.view_digest([OWN_ID, PEER_ID]).hex() == expected
    assert table.view_digest([PEER_ID, OWN_ID]).hex() == expected
    assert table.view_digest([]).hex() == "e4a6a0577479b2b4"


def test_name_of_a_process() -> None:
    assert messages.process_name(OWN_ID) == "10.0.0.1:7000/626f6f742d6f662d6f6e6521"


# --- a complete table, over TCP ---


def exchange() -> TableExchange:
    """The exchange of tables of one member; it opens no socket."""
    settings = MembershipSettings(installation="atlanta")
    own = chain.IncarnationChain(b"a fixed seed")
    detector = FailureDetector(OWN_ID.address, settings, own, random.Random(1), 0, 1, "zone-a")
    detector.table.records[PEER_ID] = MemberRecord(
        PEER_ID,
        258,
        b"proof-of-two",
        b"leave-of-two",
        Status.SUSPECT,
        0,
        2,
        "zone-b",
        2,
        "10.0.0.3:7000",
    )
    host = cast(Any, SimpleNamespace(now_ns=lambda: 0))
    return TableExchange(MessageExchange(detector, fresh_codec(), TrafficCounters(), host))


FRAMES: dict[str, tuple[bool, bool, bytes]] = {
    "request without claims": (
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
    "answer with the complete table": (
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


@pytest.mark.parametrize(("ask", "claims", "expected"), FRAMES.values(), ids=FRAMES)
def test_table_frame_is_written_and_read_byte_for_byte(
    ask: bool, claims: bool, expected: bytes
) -> None:
    sender, written = exchange(), list[bytes]()
    sender.write_frame(
        cast(Any, SimpleNamespace(write=written.append)), sender.table_message(ask, claims)
    )
    assert written == [expected]

    async def read() -> messages.Sync:
        reader = asyncio.StreamReader()
        reader.feed_data(expected)
        return await exchange().read_frame(reader)

    sync = asyncio.run(read())
    assert sync.digest.hex() == "02fd620c68e08ee4"
    assert (sync.is_request, len(sync.claims)) == (ask, 2 if claims else 0)
    if claims:
        assert sync.claims[1] == msgspec.structs.replace(PEER, sequence=0)


# --- limits: leases and counters ---

LIMITS: dict[str, tuple[quota_messages.QuotaMessage, bytes]] = {
    "home asks": (
        quota_messages.VoteRequest(9, ((3, 2, True), (5, 1, False))),
        b"\x93\x01\t\x92\x93\x03\x02\xc3\x93\x05\x01\xc2",
    ),
    "promise": (
        quota_messages.VoteResponse(9, (3,), ((5, 4),)),
        b"\x94\x02\t\x91\x03\x91\x92\x05\x04",
    ),
    "promise, short": (quota_messages.VoteResponse(9, ()), b"\x94\x02\t\x90\x90"),
    "lease asked": (
        quota_messages.LeaseRequest(10, (quota_messages.LeaseDemand("acme", 12.5, 4.0, 77, 2),)),
        (
            b"\x93\x03\n\x91\x95\xa4acme\xcb@)\x00\x00\x00\x00\x00"
            b"\x00\xcb@\x10\x00\x00\x00\x00\x00\x00M\x02"
        ),
    ),
    "lease given back": (
        quota_messages.LeaseRequest(11, (quota_messages.LeaseDemand("acme", -1.0, 0.0, 0, -1),)),
        (
            b"\x93\x03\x0b\x91\x95\xa4acme\xcb\xbf\xf0\x00\x00\x00\x00\x00"
            b"\x00\xcb\x00\x00\x00\x00\x00\x00\x00\x00\x00\xff"
        ),
    ),
    "lease granted": (
        quota_messages.LeaseResponse(10, (quota_messages.Grant("acme", 8.25, 78, 2),)),
        (b"\x93\x04\n\x91\x94\xa4acme\xcb@ \x80\x00\x00\x00\x00" b"\x00N\x02"),
    ),
    "counters": (
        quota_messages.UsageReports(
            (quota_messages.UsageReport("a:1/ff", 6, 250, (("further", 1.5),)),)
        ),
        (
            b"\x92\x05\x91\x94\xa6a:1/ff\x06\xcc\xfa\x91\x92\xa7f"
            b"urther\xcb?\xf8\x00\x00\x00\x00\x00\x00"
        ),
    ),
}


@pytest.mark.parametrize(("message", "expected"), LIMITS.values(), ids=LIMITS)
def test_limit_message_is_written_and_read_byte_for_byte(
    message: quota_messages.QuotaMessage, expected: bytes
) -> None:
    assert msgspec.msgpack.encode(message) == expected
    decoder: msgspec.msgpack.Decoder[quota_messages.QuotaMessage] = msgspec.msgpack.Decoder(
        quota_messages.QuotaMessage
    )
    assert decoder.decode(expected) == message


def test_every_message_type_of_the_limits_is_pinned() -> None:
    assert {type(message) for message, _ in LIMITS.values()} == set(
        quota_messages.QuotaMessage.__args__
    )


class Recorder:
    """Stands in for a membership: keeps what is said to others."""

    def __init__(self) -> None:
        self.said: list[tuple[str, str, bytes]] = []
        self.name = "a:1/ff"
        self.detector = SimpleNamespace(draw=random.Random(1))

    def send(self, topic: str, name: str, body: bytes) -> None:
        self.said.append((topic, name, body))

    def flush(self) -> None:
        pass

    def names(self) -> tuple[str, ...]:
        return ("a:1/ff", "b:1/ee")


def test_limits_are_said_under_their_topic() -> None:
    service = quota_service.QuotaService.__new__(quota_service.QuotaService)
    recorder = Recorder()
    service.membership, service.encoder = cast(Any, recorder), msgspec.msgpack.Encoder()
    service.leases = cast(
        Any, SimpleNamespace(outbox=[("b:1/ee", quota_messages.VoteResponse(9, (3,)))])
    )
    service._send()
    assert recorder.said == [("limits", "b:1/ee", b"\x94\x02\x09\x91\x03\x90")]


def test_row_of_own_counters_as_a_round_says_it() -> None:
    own = counters.UsageCounters("a:1/ff", S, lambda: 0.0)
    told = own.next_round(5 * S, {"further": 1.5, "connects": 0.25}, ["a:1/ff", "b:1/ee"])
    assert [(name, msgspec.msgpack.encode(rows)) for name, rows in told] == [
        (
            "b:1/ee",
            (
                b"\x92\x05\x91\x94\xa6a:1/ff\x01\x00\x92\x92\xa7fu"
                b"rther\xcb?\xf8\x00\x00\x00\x00\x00\x00\x92\xa8co"
                b"nnects\xcb?\xd0\x00\x00\x00\x00\x00\x00"
            ),
        )
    ]


@pytest.mark.parametrize(
    ("limit", "shard"),
    [("acme", 6), ("further", 6), ("work", 5), ("zürich", 7), ("", 1)],
)
def test_shard_of_a_limit(limit: str, shard: int) -> None:
    assert sharding.shard_of(limit) == shard


def test_home_of_each_shard() -> None:
    members = ("10.0.0.1:7000/aa", "10.0.0.2:7000/bb", "10.0.0.3:7000/cc")
    homes = [members.index(sharding.preferred_leader(shard, members)) for shard in range(8)]
    assert homes == [0, 2, 0, 2, 0, 0, 1, 0]
    assert sharding.preferred_leader(0, ()) == ""


# --- verdicts: evidence and operators' words ---

ENGINE = consensus_messages.Endpoint("s-1", 1_700_000_000_123)
VERDICTS: dict[
    str,
    tuple[
        consensus_messages.ObserverReport
        | consensus_messages.ObserverReports
        | consensus_messages.OverrideBatch,
        bytes,
    ],
] = {
    "report": (
        consensus_messages.ObserverReport(
            "a:1/ff", "zone-a", 4, 90, (consensus_messages.Observation(ENGINE, 3, 1, 20, -1),)
        ),
        (
            b"\x96\x01\xa6a:1/ff\xa6zone-a\x04Z"
            b"\x91\x95\x92\xa3s-1\xcf\x00\x00\x01\x8b\xcf\xe5h{\x03\x01"
            b"\x14\xff"
        ),
    ),
    "reports": (
        consensus_messages.ObserverReports(
            (consensus_messages.ObserverReport("a:1/ff", "zone-a", 4, 90, ()),)
        ),
        (b"\x92\x02\x91\x96\x01\xa6a:1/ff\xa6zone-" b"a\x04Z\x90"),
    ),
    "operators' words": (
        consensus_messages.OverrideBatch(
            b"digest-8",
            (
                consensus_messages.Override("s-1", "out", 1, "a:1"),
                consensus_messages.Override("s-1", "back", 2, "b:1", (1, "a:1")),
                consensus_messages.Override("s-2", "pinned", 300, "a:1", (299, "b:1")),
            ),
        ),
        (
            b"\x94\x03\xc4\x08digest-8\x93\x95\xa3s-1"
            b"\xa3out\x01\xa3a:1\x92\x00\xa0\x95\xa3s-1\xa4"
            b"back\x02\xa3b:1\x92\x01\xa3a:1\x95\xa3s"
            b"-2\xa6pinned\xcd\x01,\xa3a:1\x92\xcd"
            b"\x01+\xa3b:1\xc2"
        ),
    ),
    "operators' words, an answer": (
        consensus_messages.OverrideBatch(b"digest-8", (), True),
        b"\x94\x03\xc4\x08digest-8\x90\xc3",
    ),
}


@pytest.mark.parametrize(("message", "expected"), VERDICTS.values(), ids=VERDICTS)
def test_verdict_message_is_written_and_read_byte_for_byte(
    message: consensus_messages.ObserverReport
    | consensus_messages.ObserverReports
    | consensus_messages.OverrideBatch,
    expected: bytes,
) -> None:
    assert msgspec.msgpack.encode(message) == expected
    assert msgspec.msgpack.decode(expected, type=type(message)) == message


def test_values_of_operators_words() -> None:
    assert overrides.OVERRIDE_VALUES == ("out", "back", "pinned")


def test_digest_of_operators_words() -> None:
    book = overrides.OverrideStore("a:1")
    assert book.digest().hex() == "e4a6a0577479b2b4"
    book.set("s-2", "pinned", 3)
    book.set("s-1", "out", 3)
    book.set("s-1", "back", 3)
    assert book.digest().hex() == "dadad5f89d9d21c6"


def test_a_round_of_verdicts_says_rows_and_words_under_its_topic() -> None:
    gossip = consensus_service.ConsensusGossip.__new__(consensus_service.ConsensusGossip)
    recorder, now = Recorder(), 100 * S
    gossip.membership, gossip.encoder = cast(Any, recorder), msgspec.msgpack.Encoder()
    gossip.observations = observations.ObservationStore(
        "a:1/ff", "zone-a", OutlierConsensusSettings()
    )
    gossip.observations.record(now - S, ENGINE, False)
    gossip.observations.record(now - S // 2, ENGINE, True)
    gossip.overrides = overrides.OverrideStore("a:1")
    gossip.overrides.set("s-1", "out", 1)
    gossip.send_round(now)
    assert recorder.said == [
        (
            "verdicts",
            "b:1/ee",
            (
                b"\x92\x02\x91\x96\x01\xa6a:1/ff\xa6zone-"
                b"a\x01\x00\x91\x95\x92\xa3s-1\xcf\x00\x00\x01\x8b\xcf\xe5h"
                b"{\x01\x01\xcd\x03\xe8\xcd\x01\xf4"
            ),
        ),
        (
            "verdicts",
            "b:1/ee",
            (
                b"\x94\x03\xc4\x08 \xce\xc1\xa3\xbc\x99T2\x91\x95\xa3s-1"
                b"\xa3out\x01\xa3a:1\x92\x00\xa0\xc2"
            ),
        ),
    ]
