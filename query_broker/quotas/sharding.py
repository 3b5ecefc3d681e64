"""Which shard a limit belongs to, and which member should lead a shard. Performs no I/O.

Both depend on names only, so that brokers with the same view of the membership agree without any
messages.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache

from .settings import SHARD_COUNT

MAX_CACHED_LIMITS = 4_096
MAX_CACHED_LEADERS = 256


@lru_cache(MAX_CACHED_LIMITS)
def shard_of(limit: str) -> int:
    """Return the shard of a limit."""
    return hashlib.blake2b(limit.encode(), digest_size=2).digest()[0] % SHARD_COUNT


@lru_cache(MAX_CACHED_LEADERS)
def preferred_leader(shard: int, members: tuple[str, ...]) -> str:
    """Return the member that should lead a shard; empty if there are no members.

    Rendezvous hashing: if a member leaves, only the shards it led get another leader.
    """

    def weight(member: str) -> bytes:
        return hashlib.blake2b(f"{shard}/{member}".encode(), digest_size=8).digest()

    return max(members, key=weight, default="")
