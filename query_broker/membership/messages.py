"""What members say to each other. Arrays on the wire: what a later version adds at the end is
passed over by an earlier one, and a kind that it does not know is dropped and counted.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec


class Status(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
    HEARD = 4  # no state: the word of one that heard a suspect speak


class Identity(NamedTuple):
    """An address, and what one process there has drawn at its start: two processes are never taken
    for one.
    """

    address: str
    boot: bytes


class Claim(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """``by``: who says it (address). ``proof``, ``leave``: see `chain`. ``count``: of its newest
    message that is known, where the status is HEARD.
    """

    id: Identity
    inc: int
    status: Status
    proof: bytes
    leave: bytes
    by: str = ""
    place: int = 0
    zone: str = ""
    speaks: int = 1
    count: int = 0

    def size(self) -> int:
        """Bytes on the wire, at the most."""
        return 70 + len(self.id.address) + len(self.by) + 4 * len(self.zone)


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """``behalf``: the address of the one for whom it is sent, if not the sender."""

    seq: int
    behalf: str = ""
    claims: tuple[Claim, ...] = ()


class PingReq(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Reach this one for me."""

    seq: int
    target: Identity
    claims: tuple[Claim, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """``who`` is there. ``heard``: ms since it heard the one on whose behalf it was asked, -1:
    never.
    """

    seq: int
    who: Identity
    heard: int = -1
    digest: bytes = b""
    claims: tuple[Claim, ...] = ()


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """I, a helper, am there; whom I was to reach has not answered."""

    seq: int


class Sync(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Over TCP. ``claims`` empty and ``ask``: tell yours if your digest differs."""

    digest: bytes
    ask: bool
    claims: tuple[Claim, ...] = ()


class Talk(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Of what rests on the membership: ``topic`` says for whom ``body`` is."""

    topic: str
    body: bytes


Message = Ping | PingReq | Ack | Nack | Sync | Talk


def name_of(id: Identity) -> str:
    """One process, as others call it."""
    return f"{id.address}/{id.boot.hex()}"


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """``to``: the boot of whom it is meant for, so that it says nothing to the next process there;
    empty: whoever has the address. ``me``: the sender's own claim that it is alive. ``count`` rises
    with each message of a process.
    """

    installation: str
    to: bytes
    count: int
    me: Claim
    body: Message
