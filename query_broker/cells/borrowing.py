"""What each cell may hold of one thing that all share: its own part, and what others do not use.

The owner's part is a promise: a quarter of it is never lent, and once the owner digs into the rest
(it
*asks*), nothing more of it is lent and what is lent comes back within `RETURN`. Only what can be
given back
may be borrowed: *firm* use (what may not be cut short, such as unsafe work) stays within the own
part.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

S = 1_000_000_000
KEPT = 0.25  # of a part is never lent
RETURN = S * 3 // 5  # ns from the owner's asking to the last of it being called in
HOLD = 5 * S  # ns that an owner who has asked keeps its whole part


@dataclass(slots=True)
class Account:
    """One cell's use of one thing."""

    part: int = 0
    used: int = 0
    firm: int = 0
    asked: int | None = None  # since when its owner wants the whole part
    last_asked: int = 0
    kept: int = 0  # of the part, never lent

    def set_part(self, part: int) -> None:
        self.part, self.kept = part, int(KEPT * part)

    def reserve(self) -> int:
        """What must stay free for it."""
        wanted = self.part if self.asked is not None else self.kept
        return max(0, wanted - self.used)


@dataclass(slots=True)
class Ledger:
    """One thing: descriptors, bytes or requests. Parts add up to no more than the total."""

    total: int = 0
    in_use: int = 0
    accounts: dict[str, Account] = field(default_factory=dict)

    def divide(self, total: int, shares: Mapping[str, float]) -> None:
        """Set the parts anew; what is in use stays booked, also by cells that have no part any
        more.
        """
        self.total = max(0, total)
        whole = sum(shares.values()) or 1.0
        for name, account in list(self.accounts.items()):
            if name not in shares:
                account.asked = None
                account.set_part(0)
                if not account.used:
                    del self.accounts[name]
        for name, share in shares.items():
            self.accounts.setdefault(name, Account()).set_part(int(self.total * share / whole))

    def free(self) -> int:
        return self.total - self.in_use

    def allows(self, name: str, amount: int, now: int, firm: bool = False) -> bool:
        """Whether the cell may take so much more. Asking is noted: that is what calls loans in."""
        if (account := self.accounts.get(name)) is None:
            return False
        if account.used + amount <= account.kept:  # the ordinary case, on every request's path
            return self.in_use + amount <= self.total
        if account.used < account.part:
            account.asked = now if account.asked is None else account.asked
            account.last_asked = now
        if firm and account.firm + amount > account.part:
            return False
        free = self.free() - amount
        if account.used + amount <= account.part:
            return free >= 0
        return free >= sum(a.reserve() for n, a in self.accounts.items() if n != name)

    def take(self, name: str, amount: int, now: int, firm: bool = False) -> bool:
        if not self.allows(name, amount, now, firm):
            return False
        self.force(name, amount, firm)
        return True

    def force(self, name: str, amount: int, firm: bool = False) -> None:
        """Book what is there already, whatever the part."""
        if (account := self.accounts.get(name)) is not None:
            account.used += amount
            account.firm += amount * firm
            self.in_use += amount

    def give(self, name: str, amount: int, firm: bool = False) -> None:
        if (account := self.accounts.get(name)) is None:
            return
        amount = min(amount, account.used)
        account.used -= amount
        self.in_use -= amount
        if firm:
            account.firm = max(0, account.firm - amount)
        if not account.part and not account.used:
            del self.accounts[name]

    def book(self, name: str, used: int, firm: int = 0) -> None:
        """Use that is counted elsewhere."""
        if (account := self.accounts.get(name)) is not None:
            self.in_use += used - account.used
            account.used, account.firm = used, firm

    def lent(self, name: str) -> int:
        """What the cell holds beyond its part."""
        account = self.accounts[name]
        return max(0, account.used - account.part)

    def due(self, now: int) -> dict[str, int]:
        """What borrowers have to give back now: those with the largest loans first, and no more
        than is missing for the owners that asked long enough ago.
        """
        for account in self.accounts.values():
            if account.asked is not None and now - account.last_asked > HOLD:
                account.asked = None
        waited = [
            a for a in self.accounts.values() if a.asked is not None and now - a.asked >= RETURN
        ]
        if not waited:
            return {}
        missing = sum(max(0, a.part - a.used) for a in waited) - max(0, self.free())
        owed: dict[str, int] = {}
        for name in sorted(self.accounts, key=lambda n: (-self.lent(n), n)):
            if missing <= 0 or not (back := min(self.lent(name), missing)):
                break
            owed[name] = back
            missing -= back
        return owed
