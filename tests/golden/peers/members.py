"""Two members whose claims, keys and codec are fixed."""

from __future__ import annotations

from query_broker.membership import codec, keys
from query_broker.membership.messages import Claim, Identity, Status

INSTALLATION = "atlanta"
KEY_RING = keys.parse_keys("7 " + "ab" * 32)
OWN_ID = Identity("10.0.0.1:7000", b"boot-of-one!")
PEER_ID = Identity("10.0.0.2:7000", b"boot-of-two!")
OWN = Claim(
    OWN_ID,
    incarnation=3,
    status=Status.ALIVE,
    incarnation_proof=b"proof-of-one",
    leave_proof=b"leave-of-one",
    reporter="",
    ordinal=1,
    zone="zone-a",
)
PEER = Claim(
    PEER_ID,
    incarnation=258,
    status=Status.SUSPECT,
    incarnation_proof=b"proof-of-two",
    leave_proof=b"leave-of-two",
    reporter="10.0.0.3:7000",
    ordinal=2,
    zone="zone-b",
    max_protocol=2,
    sequence=70_000,
)


def fresh_codec(protocol: int = 1) -> codec.Codec:
    """Return the codec of a member that has sent nothing yet."""
    return codec.Codec(INSTALLATION, KEY_RING, protocol)
