"""The voter: votes for one leader of each shard at a time, for a limited duration.

Every broker is a voter. Votes are not stored: after its start a voter grants no vote until every
vote that it may have cast before a restart has expired. Performs no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from .messages import VoteRequest, VoteResponse
from .settings import SHARD_COUNT, QuotaSettings, expiry_wait_ns


class CastVote(NamedTuple):
    """A vote; no other candidate gets one until it expires by the voter's clock."""

    candidate: str
    term: int
    expires_at_ns: int


class Voter:
    """Answers vote requests, and remembers the terms it has seen.

    Attributes:
        votes: Latest vote by shard.
        silent_until_ns: Until when no vote is granted.
        highest_terms: Highest term seen by shard.
        confirmed_terms: Latest term in which a candidate that got this broker's vote had already
            been elected, by shard.
    """

    def __init__(self, settings: QuotaSettings, now_ns: int) -> None:
        """Start without votes; none is granted until those from before a restart have expired."""
        self.settings = settings
        self.votes: dict[int, CastVote] = {}
        self.silent_until_ns = now_ns + expiry_wait_ns(settings.vote_ns, settings.clock_drift)
        self.highest_terms: dict[int, int] = {}
        self.confirmed_terms: dict[int, int] = {}

    def answer(self, now_ns: int, candidate: str, request: VoteRequest) -> VoteResponse:
        """Vote for the candidate in each requested shard where no other vote is in force."""
        granted: list[int] = []
        rejected: list[tuple[int, int]] = []
        for shard, term, is_elected in request.candidacies[:SHARD_COUNT]:
            if not 0 <= shard < SHARD_COUNT:
                continue
            if not self._may_vote(now_ns, candidate, shard, term):
                rejected.append((shard, self.highest_term(shard)))
                continue
            self.highest_terms[shard] = term
            self.votes[shard] = CastVote(candidate, term, now_ns + self.settings.vote_ns)
            if is_elected:
                self.confirmed_terms[shard] = term
            granted.append(shard)
        return VoteResponse(request.sequence, tuple(granted), tuple(rejected))

    def _may_vote(self, now_ns: int, candidate: str, shard: int, term: int) -> bool:
        if now_ns < self.silent_until_ns or term < self.highest_term(shard):
            return False
        vote = self.votes.get(shard)
        if vote is None or now_ns >= vote.expires_at_ns:
            return True
        return vote.candidate == candidate and term >= vote.term

    def highest_term(self, shard: int) -> int:
        """Return the highest term seen of a shard; 0 if none."""
        return self.highest_terms.get(shard, 0)

    def observe_term(self, shard: int, term: int) -> None:
        """Remember the term of a leader that granted a lease."""
        self.highest_terms[shard] = term

    def confirmed_term(self, shard: int) -> int:
        """Return the latest term in which the shard's leader is known to be elected; -1 if none."""
        return self.confirmed_terms.get(shard, -1)
