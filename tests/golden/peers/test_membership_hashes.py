"""Golden values of the hashes by which members know and trust each other."""

from __future__ import annotations

from query_broker.membership import codec, incarnations, member_table, messages

from .members import OWN_ID, PEER_ID


def test_keyed_hash_of_a_datagram() -> None:
    mac = codec.message_mac(b"k" * 32, b"head", b"body")
    assert mac.hex() == "71b21e06030c3bc1ea09ddce053fd75c"


def test_hashes_of_an_incarnation_chain() -> None:
    assert incarnations.next_hash(b"value").hex() == "f6600599a22a873939fece88"
    assert incarnations.boot_identifier(b"top", b"leave").hex() == "d7c1b6d8c1adf0586c9a30a8"


def test_chain_of_a_fixed_seed() -> None:
    own = incarnations.IncarnationChain(b"a fixed seed")
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


def test_recorded_proof_of_an_incarnation_is_accepted() -> None:
    boot = bytes.fromhex("6c09ff287564cd133fee5830")
    proof = bytes.fromhex("bfa10ae07fe9e66d5d7d8d7d")
    leave = bytes.fromhex("5a4846142897b028f28d4ed6")
    assert incarnations.is_proven(boot, 128, proof, leave, None)


def test_digest_of_a_view_does_not_depend_on_the_order() -> None:
    expected = "f5b0718a950d5a5c"
    assert member_table.view_digest([OWN_ID, PEER_ID]).hex() == expected
    assert member_table.view_digest([PEER_ID, OWN_ID]).hex() == expected


def test_digest_of_an_empty_view() -> None:
    assert member_table.view_digest([]).hex() == "e4a6a0577479b2b4"


def test_name_of_a_process() -> None:
    assert messages.process_name(OWN_ID) == "10.0.0.1:7000/626f6f742d6f662d6f6e6521"
