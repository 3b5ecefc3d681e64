"""Incarnation numbers and leaves that only the process they belong to can prove.

All members share the signing keys, so a keyed hash authenticates the group but not the individual
member: a faulty member could claim that a dead one is back, or that a live one has left. Therefore
each process draws a secret at its start and hashes it repeatedly; the last hash, together with the
hash of a second secret, determines its identity. The n-th hash from the end proves incarnation n: a
receiver verifies it by hashing it until it equals a proof verified before, and cannot compute the
proof of a later incarnation (Lamport, "Password authentication with insecure communication", 1981).
The second secret proves a leave. Performs no I/O except drawing the secret.
"""

from __future__ import annotations

import hashlib
import os
from typing import NamedTuple

#: Incarnations of one identity; after the last one the process takes a new identity.
CHAIN_LENGTH = 1 << 14
#: Number of hashes between two stored ones.
CHECKPOINT_INTERVAL = 128
HASH_BYTES = 12
SECRET_BYTES = 32
#: How far an incarnation in a datagram may be ahead of the known one; bounds the hashing.
MAX_AHEAD = 256
HASH_PERSON = b"larchhall-inc"
IDENTITY_PERSON = b"larchhall-boot"


class ProvenIncarnation(NamedTuple):
    """An incarnation that was verified before, and its proof."""

    number: int
    proof: bytes


def next_hash(value: bytes) -> bytes:
    """Return the next element of a hash chain."""
    return hashlib.blake2b(value, digest_size=HASH_BYTES, person=HASH_PERSON).digest()


def boot_identifier(top: bytes, leave_commitment: bytes) -> bytes:
    """Return the process identifier, which commits to a hash chain and a leave secret."""
    committed = top + leave_commitment
    return hashlib.blake2b(committed, digest_size=HASH_BYTES, person=IDENTITY_PERSON).digest()


class IncarnationChain:
    """The hash chain and the leave secret of this process.

    Attributes:
        length: Number of incarnations that can be proven.
        leave_secret: Disclosed only when the process leaves.
        leave_commitment: Hash of the leave secret.
        top: Last hash of the chain, the proof of incarnation 0.
        boot: Identifier of the process.
    """

    def __init__(self, seed: bytes | None = None, length: int = CHAIN_LENGTH) -> None:
        """Draw the secrets, or derive them from a seed, and compute the chain."""
        self.length = length
        value = next_hash(os.urandom(SECRET_BYTES) if seed is None else seed)
        self.leave_secret = next_hash(b"leave" + value)
        self._checkpoints = [value]
        for number in range(1, length + 1):
            value = next_hash(value)
            if number % CHECKPOINT_INTERVAL == 0:
                self._checkpoints.append(value)
        self.top = value
        self.leave_commitment = next_hash(self.leave_secret)
        self.boot = boot_identifier(self.top, self.leave_commitment)

    def proof(self, incarnation: int) -> bytes:
        """Return the proof of an incarnation, counted from 0."""
        depth = self.length - incarnation
        value = self._checkpoints[depth // CHECKPOINT_INTERVAL]
        for _ in range(depth % CHECKPOINT_INTERVAL):
            value = next_hash(value)
        return value


def is_proven(
    boot: bytes,
    incarnation: int,
    proof: bytes,
    leave_commitment: bytes,
    verified: ProvenIncarnation | None,
    max_ahead: int = MAX_AHEAD,
) -> bool:
    """Return whether the proof shows that the process itself issued the incarnation.

    Args:
        boot: Identifier of the process.
        incarnation: The claimed incarnation.
        proof: The claimed proof of that incarnation.
        leave_commitment: Hash of the process's leave secret.
        verified: An incarnation of the same process that was verified before, or None.
        max_ahead: Largest accepted distance to the verified incarnation; bounds the hashing.
    """
    verified_number = 0 if verified is None else verified.number
    distance = incarnation - verified_number
    if not 0 <= distance <= max_ahead:
        return False
    if len(proof) != HASH_BYTES or len(leave_commitment) != HASH_BYTES:
        return False
    for _ in range(distance):
        proof = next_hash(proof)
    if verified is not None:
        return proof == verified.proof
    return boot_identifier(proof, leave_commitment) == boot
