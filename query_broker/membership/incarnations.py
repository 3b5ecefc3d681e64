"""Incarnations that only their owner can make. Pure.

All members have the same keys, so that a keyed hash tells members from strangers, not one member
from another: one that lies could say that a dead one has come back, or that a living one has left.
So a process draws a secret at its start and hashes it over and over; the last hash, with that of a
second secret, is its identity. Its n-th incarnation is proven by the n-th hash from the end:
whoever has seen one checks the next by hashing it, and nobody can go the other way (Lamport's chain
of one-time passwords, 1981). The second secret proves a leave.
"""

from __future__ import annotations

import hashlib
import os

LENGTH = 1 << 14  # incarnations of one process; then it takes a new identity
EVERY = 128  # hashes between two that are kept
SIZE = 12  # bytes
MOST_AHEAD = 256  # incarnations that a datagram may be ahead of what is known


def step(value: bytes) -> bytes:
    return hashlib.blake2b(value, digest_size=SIZE, person=b"larchhall-inc").digest()


def identity(top: bytes, leave: bytes) -> bytes:
    return hashlib.blake2b(top + leave, digest_size=SIZE, person=b"larchhall-boot").digest()


class Chain:
    """One process's own."""

    def __init__(self, seed: bytes | None = None, length: int = LENGTH) -> None:
        self.length = length
        value = step(os.urandom(32) if seed is None else seed)
        self.secret = step(b"leave" + value)
        self.kept = [value]
        for number in range(1, length + 1):
            value = step(value)
            if number % EVERY == 0:
                self.kept.append(value)
        self.top, self.leave = value, step(self.secret)
        self.boot = identity(self.top, self.leave)

    def proof(self, inc: int) -> bytes:
        """Of this incarnation, from 0."""
        depth = self.length - inc
        value = self.kept[depth // EVERY]
        for _ in range(depth % EVERY):
            value = step(value)
        return value


def proven(
    boot: bytes,
    inc: int,
    proof: bytes,
    leave: bytes,
    known: tuple[int, bytes] | None,
    ahead: int = MOST_AHEAD,
) -> bool:
    """``known``: an incarnation of it that was proven before, and its proof."""
    base, against = known or (0, b"")
    if not 0 <= inc - base <= ahead or len(proof) != SIZE or len(leave) != SIZE:
        return False
    for _ in range(inc - base):
        proof = step(proof)
    return proof == against if known else identity(proof, leave) == boot
