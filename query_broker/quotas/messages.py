"""Messages between brokers on shared limits, each carried in one message of the membership.

All are msgpack arrays that begin with the tag of the message: the names of the fields do not appear
on the wire. Amounts and rates are per second. Performs no I/O.
"""

from __future__ import annotations

import msgspec


class VoteRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Asks for a vote for the sender as leader of some shards.

    Attributes:
        sequence: Number that the answer returns.
        candidacies: For each shard its number, the term, and whether the sender is its leader in
            this term already; only then may it renew leases that the receiver already holds.
    """

    sequence: int
    candidacies: tuple[tuple[int, int, bool], ...]


class VoteResponse(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Answers a `VoteRequest`.

    Attributes:
        sequence: Number of the request.
        granted_shards: Shards for which the sender votes for the candidate.
        rejected_shards: For each other shard its number and the highest term the sender has seen.
    """

    sequence: int
    granted_shards: tuple[int, ...]
    rejected_shards: tuple[tuple[int, int], ...] = ()


class LeaseDemand(msgspec.Struct, array_like=True, frozen=True):
    """A holder's demand for one limit.

    Attributes:
        limit: Name of the limit.
        wanted_per_s: The amount needed beyond the guaranteed part; -1 returns the lease.
        leased_per_s: The amount of the lease in force; 0 without one.
        grant_id: Number of the grant of that lease; 0 without one.
        leader_term: Latest term in which the sender knows the shard's leader to be elected; -1 if
            none.
    """

    limit: str
    wanted_per_s: float
    leased_per_s: float
    grant_id: int
    leader_term: int


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks the leader of the limits' shards for leases, or to renew them."""

    sequence: int
    demands: tuple[LeaseDemand, ...]


class Grant(msgspec.Struct, array_like=True, frozen=True):
    """One granted lease: the amount, the number of the grant, and the term of the leader."""

    limit: str
    amount_per_s: float
    grant_id: int
    leader_term: int


class LeaseResponse(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Answers a `LeaseRequest`; each lease lasts from the moment the request was sent."""

    sequence: int
    grants: tuple[Grant, ...]


class UsageReport(msgspec.Struct, array_like=True, frozen=True):
    """The rates at which one broker uses the soft limits.

    Attributes:
        broker: Name of the broker; only this broker writes the report.
        version: Rises with each report of this broker.
        age_ms: Milliseconds since the broker measured the rates.
        rates_per_s: Pairs of a limit's name and the rate used of it.
    """

    broker: str
    version: int
    age_ms: int
    rates_per_s: tuple[tuple[str, float], ...]


class UsageReports(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A batch of usage reports of the sender and of other brokers, for gossip."""

    reports: tuple[UsageReport, ...]


LeaseMessage = VoteRequest | VoteResponse | LeaseRequest | LeaseResponse
QuotaMessage = VoteRequest | VoteResponse | LeaseRequest | LeaseResponse | UsageReports
