"""Members, keys and messages that the tests of the membership share."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from query_broker.emulator.membership_simulation import BEGIN_NS
from query_broker.membership.failure_detector import FailureDetector
from query_broker.membership.incarnations import CHECKPOINT_INTERVAL, IncarnationChain
from query_broker.membership.keys import parse_keys
from query_broker.membership.messages import Claim, Identity, Status
from query_broker.membership.settings import MembershipSettings

INSTALLATION = "here"
SETTINGS = MembershipSettings(installation=INSTALLATION)
CHAIN = IncarnationChain(b"one", CHECKPOINT_INTERVAL)
IDENTITY = Identity("10.0.0.1:7000", CHAIN.boot)
ALIVE = Claim(IDENTITY, 0, Status.ALIVE, CHAIN.proof(0), CHAIN.leave_commitment)
KEY_LINE = "1 " + "ab" * 32
OTHER_SECRET = "cd" * 32
KEYS = parse_keys(KEY_LINE)


def alive_claim(**changes: Any) -> Claim:
    """Return the claim of the example member with some fields changed."""
    return msgspec.structs.replace(ALIVE, **changes)


def make_detector(address: str, *position: Any) -> FailureDetector:
    """Return the failure detector of a member that is alone."""
    chain = IncarnationChain(b"x", CHECKPOINT_INTERVAL)
    return FailureDetector(address, SETTINGS, chain, random.Random(1), BEGIN_NS, *position)
