"""Incarnation proofs, keys, replay protection and the codec of the membership."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from query_broker.emulator.membership_simulation import BEGIN_NS
from query_broker.membership.codec import Codec, message_mac
from query_broker.membership.errors import KeyFileError, MessageRejectedError
from query_broker.membership.incarnations import (
    CHECKPOINT_INTERVAL,
    IncarnationChain,
    ProvenIncarnation,
    is_proven,
    next_hash,
)
from query_broker.membership.keys import KeyRing, parse_keys
from query_broker.membership.messages import (
    Ack,
    Claim,
    Envelope,
    Identity,
    IndirectPing,
    Ping,
    Status,
)
from query_broker.membership.replay_window import ReplayWindow
from query_broker.membership.settings import NS_PER_S

from ..support.members_support import (
    ALIVE,
    CHAIN,
    IDENTITY,
    INSTALLATION,
    KEY_LINE,
    KEYS,
    OTHER_SECRET,
    alive_claim,
    make_detector,
)

HEADER_BYTES = 4
BODY_OFFSET = 20


@pytest.fixture
def codec() -> Codec:
    return Codec(INSTALLATION, KEYS)


def datagram(
    message: Any = None,
    installation: str = INSTALLATION,
    key_ring: KeyRing = KEYS,
    protocol: int = 1,
    recipient_protocol: int = 9,
) -> bytes:
    """Return a datagram of the example member to itself."""
    writer = Codec(installation, key_ring, protocol)
    return writer.write(IDENTITY, ALIVE, message or Ping(1), recipient_protocol)


def is_chain_proof(
    incarnation: int,
    proof_incarnation: int,
    verified: ProvenIncarnation | None = None,
    **options: Any,
) -> bool:
    """Return whether the proof of one incarnation is accepted for another or the same one."""
    proof = CHAIN.proof(proof_incarnation)
    leave = options.pop("leave", CHAIN.leave_commitment)
    return is_proven(CHAIN.boot, incarnation, proof, leave, verified, **options)


@pytest.mark.parametrize("incarnation", [0, 1, 77, CHECKPOINT_INTERVAL - 1])
def test_only_the_owner_can_prove_an_incarnation(incarnation: int) -> None:
    """All members share the signing keys; a faulty one must not prove claims of another."""
    first = ProvenIncarnation(0, CHAIN.proof(0))
    assert is_chain_proof(incarnation, incarnation)
    assert is_chain_proof(incarnation, incarnation, first)
    assert not is_chain_proof(incarnation + 1, incarnation)
    assert not is_chain_proof(incarnation, incarnation, leave=b"x" * 12)


def test_the_leave_secret_matches_its_commitment() -> None:
    assert next_hash(CHAIN.leave_secret) == CHAIN.leave_commitment


def test_an_older_incarnation_than_the_known_one_is_not_proven() -> None:
    assert not is_chain_proof(5, 5, ProvenIncarnation(9, CHAIN.proof(9)))


def test_the_cost_of_a_proof_is_bounded() -> None:
    assert not is_chain_proof(90, 90, max_ahead=64)


def test_a_datagram_is_read_as_it_was_written(codec: Codec) -> None:
    envelope = codec.read(datagram(IndirectPing(7, IDENTITY, (ALIVE,))))
    assert envelope.message == IndirectPing(7, IDENTITY, (ALIVE,))
    assert envelope.sender == ALIVE
    assert envelope.recipient_boot == IDENTITY.boot


def test_a_replayed_datagram_is_rejected(codec: Codec) -> None:
    data = datagram(IndirectPing(7, IDENTITY, (ALIVE,)))
    codec.read(data)
    with pytest.raises(MessageRejectedError, match="replayed"):
        codec.read(data)


REJECTED = {
    "empty": (b"", "foreign"),
    "magic alone": (b"lm", "foreign"),
    "other magic": (b"xx" + bytes(60), "foreign"),
    "too large": (bytes(2_000), "oversized"),
    "later protocol": (datagram(protocol=2), "protocol"),
    "unknown key id": (datagram(key_ring=parse_keys("9 " + OTHER_SECRET)), "key"),
    "other secret": (datagram(key_ring=parse_keys("1 " + OTHER_SECRET)), "forged"),
    "truncated": (datagram()[:-1], "forged"),
    "other installation": (datagram(installation="there"), "installation"),
    "unknown message kind": (datagram(msgspec.Raw(b"\x92\x63\x01")), "unknown"),
}


@pytest.mark.parametrize(("data", "reason"), REJECTED.values(), ids=REJECTED)
def test_a_bad_datagram_is_rejected_and_counted(codec: Codec, data: bytes, reason: str) -> None:
    with pytest.raises(MessageRejectedError, match=reason):
        codec.read(data)
    assert codec.dropped == {reason: 1}
    assert not codec.replay_windows


@pytest.fixture
def full_ack() -> bytes:
    return datagram(Ack(5, IDENTITY, 3, b"12345678", (ALIVE,) * 5))


def test_a_datagram_altered_in_any_byte_is_rejected(codec: Codec, full_ack: bytes) -> None:
    draw = random.Random(11)
    for position in range(len(full_ack)):
        altered = bytearray(full_ack)
        altered[position] ^= 1 << draw.randrange(8)
        with pytest.raises(MessageRejectedError):
            codec.read(bytes(altered))


def test_a_datagram_cut_at_any_byte_is_rejected(codec: Codec, full_ack: bytes) -> None:
    for length in range(len(full_ack)):
        with pytest.raises(MessageRejectedError):
            codec.read(full_ack[:length])


def test_malformed_data_signed_with_a_valid_key_raises_no_other_error(
    codec: Codec, full_ack: bytes
) -> None:
    draw = random.Random(11)
    header = full_ack[:HEADER_BYTES]
    accepted = 0
    for _ in range(3_000):
        body = bytearray(full_ack[BODY_OFFSET:])
        for _ in range(draw.randrange(1, 6)):
            body[draw.randrange(len(body))] = draw.randrange(256)
        mac = message_mac(KEYS.signing_key.secret, header, bytes(body))
        try:
            envelope = codec.read(header + mac + bytes(body))
        except MessageRejectedError:
            continue
        accepted += 1
        detector = make_detector("10.0.0.9:1")
        detector.receive(
            BEGIN_NS, detector.me.boot, envelope.sequence, envelope.sender, envelope.message
        )
    assert accepted > 0


def test_the_replay_window_accepts_each_number_once_and_none_that_is_too_old() -> None:
    window = ReplayWindow()
    numbers = (5, 5, 3, 4, 3, 300, 45, 44, 43, 300, 5)
    assert [window.accept(number) for number in numbers] == [
        True,
        False,
        True,
        True,
        False,
        True,
        True,
        False,
        False,
        False,
        False,
    ]


def test_a_datagram_full_of_claims_does_not_exceed_the_maximum_size() -> None:
    detector = make_detector("100.100.100.100:65535", 1, "zone")
    for number in range(200):
        chain = IncarnationChain(b"%d" % number, CHECKPOINT_INTERVAL)
        identity = Identity(f"100.100.100.{number}:65535", chain.boot)
        claim = Claim(
            identity,
            0,
            Status.ALIVE,
            chain.proof(0),
            chain.leave_commitment,
            ordinal=1_000,
            zone="a-zone-with-a-name",
        )
        detector.merger.merge(BEGIN_NS, claim)
    detector.tick(BEGIN_NS + NS_PER_S)
    codec = Codec("an installation with a name", KEYS)
    sizes = [
        len(codec.write(recipient, detector.own.claim(), message))
        for recipient, message in detector.take_outgoing()
    ]
    assert sizes
    assert max(sizes) <= 1_400


def test_the_size_of_an_envelope_without_claims_is_bounded() -> None:
    envelope = Envelope("x" * 64, IDENTITY.boot, 2**40, ALIVE, Ping(2**62))
    assert len(msgspec.msgpack.encode(envelope)) < 250


OLD_KEY = KEY_LINE
NEW_KEY = "2 " + OTHER_SECRET
ROTATION = (OLD_KEY, f"{OLD_KEY}\n{NEW_KEY}", f"{NEW_KEY}\n{OLD_KEY}", NEW_KEY)


@pytest.mark.parametrize("step", range(len(ROTATION) - 1))
def test_members_understand_each_other_at_each_step_of_a_key_rotation(step: int) -> None:
    before = parse_keys(ROTATION[step])
    after = parse_keys(ROTATION[step + 1])
    assert Codec(INSTALLATION, after).read(datagram(key_ring=before))
    assert Codec(INSTALLATION, before).read(datagram(key_ring=after))


BAD_KEY_FILES = {
    "empty": "",
    "comment alone": "# none",
    "no secret": "1",
    "secret is not hexadecimal": "1 xy",
    "id too large": "256 " + "ab" * 32,
    "secret too short": "1 ab",
    "third field": "1 abab 2",
    "id used twice": "1 " + "ab" * 32 + "\n1 " + "cd" * 32,
}


@pytest.mark.parametrize("text", BAD_KEY_FILES.values(), ids=BAD_KEY_FILES)
def test_a_bad_key_file_is_rejected(text: str) -> None:
    with pytest.raises(KeyFileError):
        parse_keys(text)


class LaterClaim(msgspec.Struct, array_like=True, frozen=True):
    """A claim of a later version, which has one more field."""

    member: Identity
    incarnation: int
    status: Status
    incarnation_proof: bytes
    leave_proof: bytes
    reporter: str
    ordinal: int
    zone: str
    max_protocol: int
    sequence: int
    load: float


def test_fields_that_a_later_version_adds_are_skipped(codec: Codec) -> None:
    later = LaterClaim(**msgspec.structs.asdict(alive_claim(max_protocol=2)), load=0.7)
    ping = [1, 42, "", [later], "more"]
    body = msgspec.msgpack.encode([INSTALLATION, IDENTITY.boot, 1, later, ping, "and more"])
    header = b"lm" + bytes((1, 1))
    envelope = codec.read(header + message_mac(KEYS.signing_key.secret, header, body) + body)
    assert envelope.message == Ping(42, "", (alive_claim(max_protocol=2),))
    assert envelope.sender.max_protocol == 2


def test_a_later_version_writes_the_protocol_that_the_recipient_speaks(codec: Codec) -> None:
    assert codec.read(datagram(protocol=2, recipient_protocol=1))


def test_a_later_version_reads_the_earlier_protocol() -> None:
    assert Codec(INSTALLATION, KEYS, 2).read(datagram(protocol=1))
