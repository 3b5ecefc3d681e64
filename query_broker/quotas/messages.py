"""What homes, holders and tellers of counters say to each other, inside a member's `Talk`."""

from __future__ import annotations

import msgspec


class HomeAsk(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Agree that I am home of these shards, each in this term. ``held``: I have been agreed to in
    this term, and nobody else grants: what you hold from before is safe to be renewed.
    """

    seq: int
    shards: tuple[tuple[int, int, bool], ...]  # shard, term, held


class Promise(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """For `HomeAsk` ``seq``: shards that I agree to, and the terms that stand in the way of
    others.
    """

    seq: int
    agreed: tuple[int, ...]
    terms: tuple[tuple[int, int], ...] = ()


class Want(msgspec.Struct, array_like=True, frozen=True):
    """``held``, ``grant``: what I hold now, and by which grant; 0, 0: nothing. ``term``: in which I
    know the home to be held.
    """

    limit: str
    want: float
    held: float
    grant: int
    term: int


class LeaseAsk(msgspec.Struct, array_like=True, frozen=True, tag=3):
    seq: int
    wants: tuple[Want, ...]


class Granted(msgspec.Struct, array_like=True, frozen=True):
    limit: str
    amount: float
    grant: int
    term: int


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """For `LeaseAsk` ``seq``; each lasts a lease from when that was sent."""

    seq: int
    granted: tuple[Granted, ...]


class Row(msgspec.Struct, array_like=True, frozen=True):
    """One broker's own counts: ``rates`` a second by limit, ``age`` ms since it counted them."""

    who: str
    version: int
    age: int
    rates: tuple[tuple[str, float], ...]


class Rows(msgspec.Struct, array_like=True, frozen=True, tag=5):
    rows: tuple[Row, ...]


Body = HomeAsk | Promise | LeaseAsk | LeaseGrant | Rows
