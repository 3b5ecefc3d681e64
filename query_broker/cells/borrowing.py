"""Borrowing between cells: what each may hold of one resource that all of them share.

A cell owns a part of the resource and may borrow what the others do not use. The owner's part is a
guarantee: `RESERVED_FRACTION` of it is never lent, and once the owner uses more than that (it
*reclaims* its part), nothing more of the part is lent and what is lent is called in within
`CALL_IN_DELAY_NS`. Only what can be given back may be borrowed: *firm* use, which must not be cut
short (such as work that is not idempotent), stays within the cell's own part.

Amounts are descriptors, bytes or requests; times are integer nanoseconds. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

NS_PER_S = 1_000_000_000
#: The fraction of a part that is never lent, so that an owner can always start at once.
RESERVED_FRACTION = 0.25
#: From the owner's reclaim until the last of what it lent is called in: within a second, less the
#: time that borrowers take to end.
CALL_IN_DELAY_NS = NS_PER_S * 3 // 5
#: How long an owner that has reclaimed its part keeps all of it.
RECLAIM_HOLD_NS = 5 * NS_PER_S


@dataclass(slots=True)
class Account:
    """One cell's use of one resource.

    Attributes:
        part: What the cell owns.
        used: What it uses, borrowed amounts included.
        firm: What of it must not be cut short.
        reclaim_since: Since when the owner wants its complete part; None if it does not.
        last_reclaim: When it last wanted it.
        reserved: What of the part is never lent.
    """

    part: int = 0
    used: int = 0
    firm: int = 0
    reclaim_since: int | None = None
    last_reclaim: int = 0
    reserved: int = 0

    def set_part(self, part: int) -> None:
        """Set what the cell owns."""
        self.part = part
        self.reserved = int(RESERVED_FRACTION * part)

    def reserve(self) -> int:
        """Return what must stay free for the cell now."""
        wanted = self.part if self.reclaim_since is not None else self.reserved
        return max(0, wanted - self.used)

    def borrowed(self) -> int:
        """Return what the cell uses beyond its part."""
        return max(0, self.used - self.part)

    def note_reclaim(self, now_ns: int) -> None:
        """Record that the owner wants its complete part."""
        if self.reclaim_since is None:
            self.reclaim_since = now_ns
        self.last_reclaim = now_ns

    def expire_reclaim(self, now_ns: int) -> None:
        """End a reclaim that has not been repeated for `RECLAIM_HOLD_NS`."""
        if self.reclaim_since is not None and now_ns - self.last_reclaim > RECLAIM_HOLD_NS:
            self.reclaim_since = None

    def call_in_is_due(self, now_ns: int) -> bool:
        """Return whether the owner has waited for its part for `CALL_IN_DELAY_NS`."""
        return self.reclaim_since is not None and now_ns - self.reclaim_since >= CALL_IN_DELAY_NS


@dataclass(slots=True)
class Ledger:
    """The use of one resource by all cells.

    Invariant: the parts add up to no more than the total, and `acquire` never lets the use exceed
    it.

    Attributes:
        total: How much there is.
        in_use: The use of all cells together.
        accounts: The account of each cell.
    """

    total: int = 0
    in_use: int = 0
    accounts: dict[str, Account] = field(default_factory=dict)

    def divide(self, total: int, weights: Mapping[str, float]) -> None:
        """Set the total and the parts anew.

        What is in use stays accounted, also for cells that have no part any more.
        """
        self.total = max(0, total)
        total_weight = sum(weights.values()) or 1.0
        for name, account in list(self.accounts.items()):
            if name not in weights:
                account.reclaim_since = None
                account.set_part(0)
                self._drop_if_unused(name, account)
        for name, weight in weights.items():
            part = int(self.total * weight / total_weight)
            self.accounts.setdefault(name, Account()).set_part(part)

    def _drop_if_unused(self, name: str, account: Account) -> None:
        if not account.part and not account.used:
            del self.accounts[name]

    def free(self) -> int:
        """Return what is left of the total; negative after a cut of the total."""
        return self.total - self.in_use

    def allows(self, name: str, amount: int, now_ns: int, firm: bool = False) -> bool:
        """Return whether the cell may take this amount more.

        A cell that reaches into the part of its own that may be lent reclaims it by this call:
        borrowed amounts are called in then.
        """
        account = self.accounts.get(name)
        if account is None:
            return False
        if account.used + amount <= account.reserved:  # the ordinary case, on every request's path
            return self.in_use + amount <= self.total
        if account.used < account.part:
            account.note_reclaim(now_ns)
        if firm and account.firm + amount > account.part:
            return False
        free = self.free() - amount
        if account.used + amount <= account.part:
            return free >= 0
        return free >= self.reserved_for_others(name)

    def reserved_for_others(self, name: str) -> int:
        """Return what must stay free for the cells other than this one."""
        return sum(account.reserve() for owner, account in self.accounts.items() if owner != name)

    def acquire(self, name: str, amount: int, now_ns: int, firm: bool = False) -> bool:
        """Account the amount to the cell if it may take it; return whether it did."""
        if not self.allows(name, amount, now_ns, firm):
            return False
        self.force(name, amount, firm)
        return True

    def force(self, name: str, amount: int, firm: bool = False) -> None:
        """Account an amount that is in use already, whatever the cell's part."""
        account = self.accounts.get(name)
        if account is None:
            return
        account.used += amount
        self.in_use += amount
        if firm:
            account.firm += amount

    def release(self, name: str, amount: int, firm: bool = False) -> None:
        """Give an amount back; ``firm`` as it was taken."""
        account = self.accounts.get(name)
        if account is None:
            return
        amount = min(amount, account.used)
        account.used -= amount
        self.in_use -= amount
        if firm:
            account.firm = max(0, account.firm - amount)
        self._drop_if_unused(name, account)

    def set_used(self, name: str, used: int, firm: int = 0) -> None:
        """Set the use of a cell that is counted elsewhere."""
        account = self.accounts.get(name)
        if account is None:
            return
        self.in_use += used - account.used
        account.used = used
        account.firm = firm

    def borrowed(self, name: str) -> int:
        """Return what the cell uses beyond its part."""
        return self.accounts[name].borrowed()

    def due(self, now_ns: int) -> dict[str, int]:
        """Return what each borrower has to give back now.

        The largest borrowers come first, and no more is called in than is missing for the owners
        that reclaimed their part long enough ago.
        """
        for account in self.accounts.values():
            account.expire_reclaim(now_ns)
        waiting = [account for account in self.accounts.values() if account.call_in_is_due(now_ns)]
        if not waiting:
            return {}
        wanted = sum(max(0, account.part - account.used) for account in waiting)
        largest_first = sorted(self.accounts, key=lambda name: (-self.borrowed(name), name))
        return self._owed(largest_first, wanted - max(0, self.free()))

    def over_total(self) -> dict[str, int]:
        """Return what each borrower has to give back where more than the total is in use."""
        largest_first = sorted(self.accounts, key=lambda name: -self.borrowed(name))
        return self._owed(largest_first, -self.free())

    def _owed(self, largest_first: Iterable[str], missing: int) -> dict[str, int]:
        owed: dict[str, int] = {}
        for name in largest_first:
            amount = min(self.borrowed(name), missing)
            if amount <= 0:
                break
            owed[name] = amount
            missing -= amount
        return owed
