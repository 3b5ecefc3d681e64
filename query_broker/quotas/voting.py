"""The voter: votes for one leader of each shard at a time, for a limited duration.

Every broker is a voter. A voter that has just started grants no vote until any vote it may have
cast before a crash has expired, since votes are not stored. Performs no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from .messages import VoteRequest, VoteResponse
from .settings import SHARD_COUNT, QuotaSettings, expiry_wait_ns


class CastVote(NamedTuple):
    """A vote and until when, by the voter's clock, it excludes other candidates."""

    candidate: str
    term: int
    expires_at_ns: int


class Voter:
    """Answers vote requests, and remembers the terms it has seen.

    Attributes:
        votes: Latest vote by shard.
        silent_until_ns: Until then no vote is granted.
        highest_terms: Highest term seen by shard.
        confirmed_terms: By shard the latest term in which a candidate that got our vote had already
            been elected.
    """

    def __init__(self, settings: QuotaSettings, now_ns: int) -> None:
        """Start silent, as after a restart."""
        self.settings = settings
        self.votes: dict[int, CastVote] = {}
        self.silent_until_ns = now_ns + expiry_wait_ns(settings.vote_ns, settings.clock_drift)
        self.highest_terms: dict[int, int] = {}
        self.confirmed_terms: dict[int, int] = {}

    def answer(self, now_ns: int, candidate: str, request: VoteRequest) -> VoteResponse:
        """Vote for the candidate in each shard of the request where no other vote is in force."""
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
        """Return the latest term in which the shard is known to have an elected leader, or -1."""
        return self.confirmed_terms.get(shard, -1)
