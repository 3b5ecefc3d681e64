"""A model of three members under every short order of events and under long random ones."""

from __future__ import annotations

import ast
import random

import pytest

from query_broker.membership.claim_merge import ClaimMerger
from query_broker.membership.incarnations import MAX_AHEAD
from query_broker.membership.member_record import MemberRecord
from query_broker.membership.messages import Claim, Status
from query_broker.membership.suspicion import SuspicionTracker

from ..support.members_model import ModelCluster, PropertyViolationError, explore, replay

FAULTS = ("old gossip revives a member", "any incarnation is accepted")


def test_no_order_of_events_violates_the_incarnation_properties() -> None:
    explored = explore(4, 20)
    assert explored.states > 1_500
    assert explored.settled > 50


@pytest.mark.parametrize("seed", range(12))
def test_no_long_random_schedule_violates_the_incarnation_properties(seed: int) -> None:
    draw = random.Random(seed)
    cluster = ModelCluster()
    schedule: list[str] = []
    for _ in range(60):
        schedule.append(draw.choice(list(cluster.actions())))
        try:
            cluster.play(schedule[-1])
        except PropertyViolationError as violation:
            pytest.fail(f"{violation}: replay({schedule!r})")
    assert cluster.settle(), f"replay({schedule!r})"


def let_old_gossip_revive(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make a claim of the known incarnation revive a dead member."""
    correct_merge = ClaimMerger.merge

    def merge(self: ClaimMerger, now_ns: int, claim: Claim, max_ahead: int = MAX_AHEAD) -> None:
        correct_merge(self, now_ns, claim, max_ahead)
        record = self._table.get(claim.member)
        if record is None or record.status is not Status.DEAD:
            return
        if claim.status is Status.ALIVE:
            self._suspicions.refute(now_ns, record)

    monkeypatch.setattr(ClaimMerger, "merge", merge)


def accept_any_incarnation(monkeypatch: pytest.MonkeyPatch) -> None:
    """Accept any proof, and raise the incarnations of other members."""

    def confirm(self: SuspicionTracker, record: MemberRecord, reporter: str) -> None:
        record.incarnation += 1

    monkeypatch.setattr("query_broker.membership.claim_merge.is_proven", lambda *arguments: True)
    monkeypatch.setattr(SuspicionTracker, "confirm", confirm)


@pytest.mark.parametrize("fault", FAULTS)
def test_the_model_finds_a_fault_and_prints_a_schedule_that_reproduces_it(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Verifies that the model detects violations."""
    if fault == "old gossip revives a member":
        let_old_gossip_revive(monkeypatch)
    else:
        accept_any_incarnation(monkeypatch)
    with pytest.raises(PropertyViolationError, match="replay") as violation:
        explore(5, 10**9)
    printed = str(violation.value).split("replay(", 1)[1][:-1]
    schedule: list[str] = ast.literal_eval(printed)
    with pytest.raises(PropertyViolationError):
        replay(schedule)
