"""Golden form of the messages by which brokers share quotas: leases and usage counters."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from query_broker.quotas import counters, service
from query_broker.quotas.messages import (
    Grant,
    LeaseDemand,
    LeaseRequest,
    LeaseResponse,
    QuotaMessage,
    UsageReport,
    UsageReports,
    VoteRequest,
    VoteResponse,
)

from .recording_membership import RecordingMembership, SentMessage

NS_PER_S = 1_000_000_000

QUOTA_MESSAGES: dict[str, tuple[QuotaMessage, bytes]] = {
    "vote request": (
        VoteRequest(9, ((3, 2, True), (5, 1, False))),
        b"\x93\x01\t\x92\x93\x03\x02\xc3\x93\x05\x01\xc2",
    ),
    "vote response": (
        VoteResponse(9, (3,), ((5, 4),)),
        b"\x94\x02\t\x91\x03\x91\x92\x05\x04",
    ),
    "vote response, short": (VoteResponse(9, ()), b"\x94\x02\t\x90\x90"),
    "lease request": (
        LeaseRequest(10, (LeaseDemand("acme", 12.5, 4.0, 77, 2),)),
        (
            b"\x93\x03\n\x91\x95\xa4acme\xcb@)\x00\x00\x00\x00\x00"
            b"\x00\xcb@\x10\x00\x00\x00\x00\x00\x00M\x02"
        ),
    ),
    "lease request that gives the lease back": (
        LeaseRequest(11, (LeaseDemand("acme", -1.0, 0.0, 0, -1),)),
        (
            b"\x93\x03\x0b\x91\x95\xa4acme\xcb\xbf\xf0\x00\x00\x00\x00\x00"
            b"\x00\xcb\x00\x00\x00\x00\x00\x00\x00\x00\x00\xff"
        ),
    ),
    "lease response": (
        LeaseResponse(10, (Grant("acme", 8.25, 78, 2),)),
        (b"\x93\x04\n\x91\x94\xa4acme\xcb@ \x80\x00\x00\x00\x00" b"\x00N\x02"),
    ),
    "usage reports": (
        UsageReports((UsageReport("a:1/ff", 6, 250, (("further", 1.5),)),)),
        (
            b"\x92\x05\x91\x94\xa6a:1/ff\x06\xcc\xfa\x91\x92\xa7f"
            b"urther\xcb?\xf8\x00\x00\x00\x00\x00\x00"
        ),
    ),
}


@pytest.mark.parametrize(("message", "expected"), QUOTA_MESSAGES.values(), ids=QUOTA_MESSAGES)
def test_quota_message_is_written_and_read_byte_for_byte(
    message: QuotaMessage, expected: bytes
) -> None:
    assert msgspec.msgpack.encode(message) == expected
    decoder: msgspec.msgpack.Decoder[QuotaMessage] = msgspec.msgpack.Decoder(QuotaMessage)
    assert decoder.decode(expected) == message


def test_every_message_type_of_the_quotas_is_pinned() -> None:
    pinned = {type(message) for message, _ in QUOTA_MESSAGES.values()}
    assert pinned == set(QuotaMessage.__args__)


def test_quota_messages_are_sent_under_their_topic() -> None:
    quotas = service.QuotaService.__new__(service.QuotaService)
    membership = RecordingMembership()
    quotas.membership = cast(Any, membership)
    quotas.encoder = msgspec.msgpack.Encoder()
    quotas.leases = cast(Any, SimpleNamespace(outbox=[("b:1/ee", VoteResponse(9, (3,)))]))
    quotas._send()
    assert membership.sent == [SentMessage("limits", "b:1/ee", b"\x94\x02\x09\x91\x03\x90")]


def test_usage_report_of_a_gossip_round() -> None:
    own = counters.UsageCounters("a:1/ff", NS_PER_S, lambda: 0.0)
    usage = {"further": 1.5, "connects": 0.25}
    messages = own.next_round(5 * NS_PER_S, usage, ["a:1/ff", "b:1/ee"])
    assert [(name, msgspec.msgpack.encode(reports)) for name, reports in messages] == [
        (
            "b:1/ee",
            (
                b"\x92\x05\x91\x94\xa6a:1/ff\x01\x00\x92\x92\xa7fu"
                b"rther\xcb?\xf8\x00\x00\x00\x00\x00\x00\x92\xa8co"
                b"nnects\xcb?\xd0\x00\x00\x00\x00\x00\x00"
            ),
        )
    ]
