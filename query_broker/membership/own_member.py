"""This process as a member: its identity, its incarnation and its claim about itself.

Performs no I/O.
"""

from __future__ import annotations

from .incarnations import IncarnationChain
from .messages import Claim, Identity, Status


class OwnMember:
    """The state that only this process may change.

    Attributes:
        identity: Address and boot identifier of this process.
        chain: Hash chain that proves its incarnations and its leave.
        incarnation: Its current incarnation number.
        has_left: Whether it has announced its leave.
        ordinal: Its configured index among the brokers.
    """

    def __init__(
        self,
        address: str,
        chain: IncarnationChain,
        ordinal: int,
        zone: str,
        max_protocol: int,
    ) -> None:
        """Start alive, with incarnation 0."""
        self.identity = Identity(address, chain.boot)
        self.chain = chain
        self.incarnation = 0
        self.has_left = False
        self.ordinal = ordinal
        self._zone = zone
        self._max_protocol = max_protocol
        self._claim: Claim | None = None

    def claim(self) -> Claim:
        """Return the claim of this process about itself: alive, or left."""
        if self._claim is None:
            self._claim = self._make_claim()
        return self._claim

    def raise_incarnation(self) -> None:
        """Take the next incarnation number, or a new identity once the chain is used up."""
        if self.incarnation + 1 >= self.chain.length:
            self.chain = IncarnationChain()
            self.identity = Identity(self.identity.address, self.chain.boot)
            self.incarnation = -1
        self.incarnation += 1
        self._claim = None

    def mark_left(self) -> None:
        """Mark this process as left; its claim discloses the leave secret from now on."""
        self.has_left = True
        self._claim = None

    def _make_claim(self) -> Claim:
        return Claim(
            self.identity,
            self.incarnation,
            Status.LEFT if self.has_left else Status.ALIVE,
            self.chain.proof(self.incarnation),
            self.chain.leave_secret if self.has_left else self.chain.leave_commitment,
            "",
            self.ordinal,
            self._zone,
            self._max_protocol,
        )
