"""What is known of each member, and what is passed on about it. Pure."""

from __future__ import annotations

import hashlib
import heapq
import math
from dataclasses import dataclass, field

from .local_health import RoundTrip
from .messages import Claim, Identity, Status
from .settings import retransmits

ROOM = 900  # bytes of claims in one datagram
MOST_ROWS = 4  # helpers whose word on one peer is kept


@dataclass(slots=True)
class Peer:
    """``heard``: when its newest message came to us; ``fresh``: when we learned, from it or from a
    witness, that it had spoken; ``acked``, ``via``: when it answered a probe of ours, itself or
    through a helper; ``hears_us``: when it last said, through a helper, that it hears us. 0:
    never.
    """

    id: Identity
    inc: int
    proof: bytes
    leave: bytes
    status: Status
    since: int
    place: int = 0
    zone: str = ""
    speaks: int = 1
    by: str = ""
    count: int = 0
    heard: int = 0
    fresh: int = 0
    acked: int = 0
    via: int = 0
    hears_us: int = 0
    trip: RoundTrip = field(default_factory=RoundTrip)
    # helper: did it reach this one, when
    rows: dict[str, tuple[bool, int]] = field(default_factory=dict)
    removed: int = 0  # how often
    wrongly: float = 0.0  # how often it was suspected of late and was there after all
    wrongly_at: int = 0

    def there(self) -> bool:
        return self.status in (Status.ALIVE, Status.SUSPECT)

    def claim(self, status: Status | None = None, by: str = "") -> Claim:
        return Claim(
            self.id,
            self.inc,
            self.status if status is None else status,
            self.proof,
            self.leave,
            by or self.by,
            self.place,
            self.zone,
            self.speaks,
            self.count,
        )

    def doubted(self, now: int, fading: int) -> float:
        """``wrongly``, which falls to a third in ``fading`` ns."""
        return self.wrongly * math.exp(-max(0, now - self.wrongly_at) / fading)

    def row(self, helper: str, reached: bool, now: int) -> None:
        self.rows.pop(helper, None)
        self.rows[helper] = (reached, now)
        if len(self.rows) > MOST_ROWS:
            del self.rows[next(iter(self.rows))]


@dataclass(slots=True)
class Suspicion:
    """``born``: never moved; ``begun``: moved by what is heard of it; ``by``: who has confirmed
    it.
    """

    born: int
    begun: int
    by: set[str]


class Gossip:
    """Claims on their way, each told a bounded number of times, the least told first."""

    def __init__(self) -> None:
        # heard or not: one of each
        self.waiting: dict[tuple[Identity, bool], tuple[Claim, int]] = {}

    def put(self, claim: Claim) -> None:
        self.waiting[claim.id, claim.status is Status.HEARD] = (claim, 0)

    def take(self, size: int, first: list[Claim], room: int = ROOM) -> tuple[Claim, ...]:
        """For one datagram; ``first``: what its receiver above all must know."""
        most, taken = retransmits(size), []
        for claim in first:
            if (room := room - claim.size()) >= 0:
                taken.append(claim)
        if not self.waiting:
            return tuple(taken)
        known = {(c.id, c.status) for c in taken}
        for key, (claim, told) in heapq.nsmallest(
            16, self.waiting.items(), key=lambda item: item[1][1]
        ):
            if (claim.id, claim.status) in known:
                continue
            if claim.size() > room:
                break
            room -= claim.size()
            taken.append(claim)
            if told + 1 >= most:
                del self.waiting[key]
            else:
                self.waiting[key] = (claim, told + 1)
        return tuple(taken)


def digest(members: list[Identity]) -> bytes:
    """Two brokers with the same one hold the same view."""
    told = hashlib.blake2b(digest_size=8)
    for address, boot in sorted(members):
        told.update(address.encode() + b"/" + boot)
    return told.digest()
