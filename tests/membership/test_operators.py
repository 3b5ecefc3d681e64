"""Reachability and key file errors shown to operators, and rate limits of datagrams."""

from __future__ import annotations

from typing import Any

import pytest

from query_broker.membership.errors import KeyFileError
from query_broker.membership.keys import parse_keys
from query_broker.membership.member_record import MemberRecord
from query_broker.membership.messages import Status
from query_broker.membership.rate_limit import DatagramRateLimiter
from query_broker.membership.reachability import assess_reachability
from query_broker.membership.settings import NS_PER_S
from query_broker.token_bucket import TokenBucket

from ..support.members_support import ALIVE

NOW_NS = 1_000 * NS_PER_S
RECENT_NS = NOW_NS - NS_PER_S
OLD_NS = NOW_NS - 60 * NS_PER_S

OBSERVATIONS_BY_REACHABILITY: dict[str, dict[str, Any]] = {
    "has left": {"status": Status.LEFT, "acked_ns": RECENT_NS},
    "dead: nobody has heard it": {"status": Status.DEAD, "received_ns": RECENT_NS},
    "reached": {"acked_ns": RECENT_NS},
    "its answers don't reach us": {
        "acked_indirectly_ns": RECENT_NS,
        "hears_us_ns": RECENT_NS,
    },
    "we can't reach it": {"acked_indirectly_ns": RECENT_NS, "hears_us_ns": OLD_NS},
    "it speaks and doesn't hear us": {"received_ns": RECENT_NS, "acked_ns": OLD_NS},
    "others hear it, we don't": {"status": Status.SUSPECT, "evidence_ns": RECENT_NS},
    "suspect: nobody reaches it": {"status": Status.SUSPECT, "evidence_ns": OLD_NS},
    "not asked yet": {"evidence_ns": RECENT_NS},
}


@pytest.mark.parametrize(
    ("text", "observed"), OBSERVATIONS_BY_REACHABILITY.items(), ids=OBSERVATIONS_BY_REACHABILITY
)
def test_reachability_follows_from_recent_observations(text: str, observed: dict[str, Any]) -> None:
    record = MemberRecord.from_claim(ALIVE, OLD_NS)
    for name, value in observed.items():
        setattr(record, name, value)
    assert assess_reachability(record, NOW_NS, NS_PER_S) == text


KEY_FILE_ERRORS = {
    "malformed": ("# comment\n1 xy", "line 2: is not of the form `ID HEX`"),
    "out of range": (
        "256 " + "ab" * 32,
        "line 1: needs an id of 0 to 255 and a key of 16 to 64 bytes",
    ),
    "duplicate": ("1 " + "ab" * 16 + "\n1 " + "cd" * 16, "line 2: id 1 is used twice"),
    "empty": ("\n", "holds no key"),
}


@pytest.mark.parametrize(("text", "problem"), KEY_FILE_ERRORS.values(), ids=KEY_FILE_ERRORS)
def test_a_key_file_error_names_the_line_and_the_problem(text: str, problem: str) -> None:
    with pytest.raises(KeyFileError) as rejected:
        parse_keys(text)
    assert str(rejected.value) == problem


def test_a_token_bucket_holds_one_second_of_tokens() -> None:
    bucket = TokenBucket.full(NOW_NS)
    taken = [bucket.try_take(NOW_NS + 10 * NS_PER_S, 3.0) for _ in range(5)]
    assert taken == [True, True, True, False, False]


def test_a_flood_from_other_senders_does_not_reduce_the_rate_of_members() -> None:
    limiter = DatagramRateLimiter(NOW_NS)
    limiter.member_addresses = {"10.0.0.1:7000"}
    admitted = [limiter.admit(NOW_NS, "10.9.9.9:1") for _ in range(1_000)]
    assert admitted.count(True) == 200
    assert limiter.admit(NOW_NS, "10.0.0.1:7000")
