"""Golden values of the hashes that place a quota: its shard and the leader of the shard."""

from __future__ import annotations

import pytest

from query_broker.quotas import sharding


@pytest.mark.parametrize(
    ("quota", "shard"),
    [("acme", 6), ("further", 6), ("work", 5), ("zürich", 7), ("", 1)],
)
def test_shard_of_a_quota(quota: str, shard: int) -> None:
    assert sharding.shard_of(quota) == shard


def test_preferred_leader_of_each_shard() -> None:
    members = ("10.0.0.1:7000/aa", "10.0.0.2:7000/bb", "10.0.0.3:7000/cc")
    leaders = [members.index(sharding.preferred_leader(shard, members)) for shard in range(8)]
    assert leaders == [0, 2, 0, 2, 0, 0, 1, 0]


def test_a_shard_without_members_has_no_leader() -> None:
    assert sharding.preferred_leader(0, ()) == ""
