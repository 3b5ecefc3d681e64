"""Quotas of a shared resource that cells may borrow from each other.

Each cell has a quota of the resource and may also use the unused quota of other cells, except for
the `RESERVED_FRACTION` that is never lent. A cell that uses less than its quota and needs more than
this reserve *reclaims* its quota: nothing more of it is lent, and borrowed amounts are called in
after `CALL_IN_DELAY_NS`.
*Firm* use must not be cut short (such as work that is not idempotent), so it is never borrowed: it
stays within the cell's own quota.

Amounts are descriptors, bytes or requests; times are integer nanoseconds. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

NS_PER_S = 1_000_000_000
#: The fraction of a quota that is never lent, so that the owner need not wait for borrowers before
#: it can use this part.
RESERVED_FRACTION = 0.25
#: The delay from the owner's reclaim until borrowed amounts are called in. The owner has its quota
#: back within a second, including the time that borrowers take to give these amounts back.
CALL_IN_DELAY_NS = NS_PER_S * 3 // 5
#: How long a reclaim lasts after the owner last repeated it.
RECLAIM_HOLD_NS = 5 * NS_PER_S


@dataclass(slots=True)
class Account:
    """One cell's use of one resource.

    Attributes:
        quota: The amount that the cell owns.
        in_use: The amount that the cell uses, borrowed amounts included.
        firm_in_use: The part of ``in_use`` that must not be cut short.
        reclaim_since_ns: When the current reclaim began; None if there is none.
        last_reclaim_ns: When the owner last repeated the reclaim.
        reserved_quota: The part of the quota that is never lent.
    """

    quota: int = 0
    in_use: int = 0
    firm_in_use: int = 0
    reclaim_since_ns: int | None = None
    last_reclaim_ns: int = 0
    reserved_quota: int = 0

    def set_quota(self, quota: int) -> None:
        """Set the quota and its reserved part."""
        self.quota = quota
        self.reserved_quota = int(RESERVED_FRACTION * quota)

    def reserved_amount(self) -> int:
        """Return the amount that other cells must leave free for this one."""
        guaranteed = self.quota if self.reclaim_since_ns is not None else self.reserved_quota
        return max(0, guaranteed - self.in_use)

    def borrowed_amount(self) -> int:
        """Return the amount in use beyond the quota."""
        return max(0, self.in_use - self.quota)

    def note_reclaim(self, now_ns: int) -> None:
        """Begin a reclaim, or repeat the current one."""
        if self.reclaim_since_ns is None:
            self.reclaim_since_ns = now_ns
        self.last_reclaim_ns = now_ns

    def expire_reclaim(self, now_ns: int) -> None:
        """End a reclaim that has not been repeated for `RECLAIM_HOLD_NS`."""
        if self.reclaim_since_ns is not None and now_ns - self.last_reclaim_ns > RECLAIM_HOLD_NS:
            self.reclaim_since_ns = None

    def call_in_is_due(self, now_ns: int) -> bool:
        """Return whether the reclaim began at least `CALL_IN_DELAY_NS` ago."""
        if self.reclaim_since_ns is None:
            return False
        return now_ns - self.reclaim_since_ns >= CALL_IN_DELAY_NS


@dataclass(slots=True)
class Ledger:
    """The use of one resource by all cells.

    Invariant: the quotas add up to no more than the total, and `acquire` never lets the use exceed
    the total.

    Attributes:
        total: The amount that all cells share.
        in_use: The amount that all cells use together.
        accounts: The account of each cell.
    """

    total: int = 0
    in_use: int = 0
    accounts: dict[str, Account] = field(default_factory=dict)

    def divide(self, total: int, weights: Mapping[str, float]) -> None:
        """Replace the total and divide it into quotas by these weights.

        Amounts in use stay accounted, also for cells that no longer have a quota.
        """
        self.total = max(0, total)
        total_weight = sum(weights.values()) or 1.0
        for name, account in list(self.accounts.items()):
            if name not in weights:
                account.reclaim_since_ns = None
                account.set_quota(0)
                self._drop_if_unused(name, account)
        for name, weight in weights.items():
            quota = int(self.total * weight / total_weight)
            self.accounts.setdefault(name, Account()).set_quota(quota)

    def _drop_if_unused(self, name: str, account: Account) -> None:
        if not account.quota and not account.in_use:
            del self.accounts[name]

    def free(self) -> int:
        """Return the unused part of the total; negative if the total was cut below the use."""
        return self.total - self.in_use

    def allows(self, name: str, amount: int, now_ns: int, firm: bool = False) -> bool:
        """Return whether the cell may use this additional amount.

        Side effect: a cell that uses less than its quota and needs more than the reserved part of
        it reclaims its quota, so that borrowed amounts are called in.
        """
        account = self.accounts.get(name)
        if account is None:
            return False
        # Fast path: runs for every request.
        if account.in_use + amount <= account.reserved_quota:
            return self.in_use + amount <= self.total
        if account.in_use < account.quota:
            account.note_reclaim(now_ns)
        if firm and account.firm_in_use + amount > account.quota:
            return False
        free = self.free() - amount
        if account.in_use + amount <= account.quota:
            return free >= 0
        return free >= self.reserved_for_others(name)

    def reserved_for_others(self, name: str) -> int:
        """Return the amount that must stay free for all other cells."""
        return sum(
            account.reserved_amount() for owner, account in self.accounts.items() if owner != name
        )

    def acquire(self, name: str, amount: int, now_ns: int, firm: bool = False) -> bool:
        """Account the amount to the cell if `allows` permits it; return whether it did."""
        if not self.allows(name, amount, now_ns, firm):
            return False
        self.force_acquire(name, amount, firm)
        return True

    def force_acquire(self, name: str, amount: int, firm: bool = False) -> None:
        """Account an amount that is in use already, without a check of the quota."""
        account = self.accounts.get(name)
        if account is None:
            return
        account.in_use += amount
        self.in_use += amount
        if firm:
            account.firm_in_use += amount

    def release(self, name: str, amount: int, firm: bool = False) -> None:
        """Give an amount back, with the same ``firm`` as when it was acquired."""
        account = self.accounts.get(name)
        if account is None:
            return
        amount = min(amount, account.in_use)
        account.in_use -= amount
        self.in_use -= amount
        if firm:
            account.firm_in_use = max(0, account.firm_in_use - amount)
        self._drop_if_unused(name, account)

    def set_in_use(self, name: str, in_use: int, firm_in_use: int = 0) -> None:
        """Replace the cell's amounts in use with those that the caller has counted."""
        account = self.accounts.get(name)
        if account is None:
            return
        self.in_use += in_use - account.in_use
        account.in_use = in_use
        account.firm_in_use = firm_in_use

    def borrowed_amount(self, name: str) -> int:
        """Return the amount that the cell uses beyond its quota."""
        return self.accounts[name].borrowed_amount()

    def borrows(self, name: str) -> bool:
        """Return whether the cell uses more than its quota."""
        return name in self.accounts and self.borrowed_amount(name) > 0

    def amounts_to_call_in(self, now_ns: int) -> dict[str, int]:
        """Return the amount that each borrower has to give back now, the largest borrower first.

        The amounts add up to no more than the unused quotas of the owners whose reclaim is due,
        less the free amount of the total.
        """
        for account in self.accounts.values():
            account.expire_reclaim(now_ns)
        due_accounts = [
            account for account in self.accounts.values() if account.call_in_is_due(now_ns)
        ]
        if not due_accounts:
            return {}
        wanted_amount = sum(max(0, account.quota - account.in_use) for account in due_accounts)
        largest_first = sorted(self.accounts, key=lambda name: (-self.borrowed_amount(name), name))
        return self._amounts_of_borrowers(largest_first, wanted_amount - max(0, self.free()))

    def amounts_over_total(self) -> dict[str, int]:
        """Return the amount that each borrower has to give back if the use exceeds the total."""
        largest_first = sorted(self.accounts, key=lambda name: -self.borrowed_amount(name))
        return self._amounts_of_borrowers(largest_first, -self.free())

    def _amounts_of_borrowers(
        self, largest_first: Iterable[str], missing_amount: int
    ) -> dict[str, int]:
        amounts: dict[str, int] = {}
        for name in largest_first:
            amount = min(self.borrowed_amount(name), missing_amount)
            if amount <= 0:
                break
            amounts[name] = amount
            missing_amount -= amount
        return amounts
