"""Settings of the membership, from the directive `members` of the operators' file.

The keyword names that operators write (`interval`, `sync`, `part`, `settle`, `forget`) are those of
the directive; `operator_config/directives.py` maps them to the fields below by position.
"""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of one broker's membership.

    Attributes:
        listen_address: IPv4 `host:port` to which the UDP and TCP sockets are bound.
        advertise_address: The address at which other members reach this process, if it differs
            from the bound one; else empty.
        seeds: Addresses that are contacted until one has answered.
        seeds_file: Path of a file with further seeds, one in a line; empty for none.
        key_file: Path of the file of signing keys.
        installation: Name that separates installations sharing a network and keys.
        interval_ns: Time between two pings; all timeouts are derived from it.
        sync_interval_ns: Mean time between two exchanges of complete member tables.
        max_lost_fraction: Fraction of the members that may be lost at once before the view
            becomes uncertain; below one half.
        settle_ns: How long a smaller fleet must persist before limits are divided by it.
        forget_after_ns: How long a member that is dead or has left is remembered.
        plain_swim: Run SWIM as first published, without the extensions; for comparison only.
    """

    listen_address: str = "127.0.0.1:0"
    advertise_address: str = ""
    seeds: tuple[str, ...] = ()
    seeds_file: str = ""
    key_file: str = ""
    installation: str = ""
    interval_ns: int = NS_PER_S
    sync_interval_ns: int = 30 * NS_PER_S
    max_lost_fraction: float = 1 / 3
    settle_ns: int = 5 * NS_PER_S
    forget_after_ns: int = 600 * NS_PER_S
    plain_swim: bool = False

    def published_address(self) -> str:
        """Return the address that operators and other members see."""
        return self.advertise_address or self.listen_address
