"""Token buckets: their capacity, and the wait for a reserved token."""

from __future__ import annotations

from query_broker.quotas.settings import NS_PER_S
from query_broker.token_bucket import TokenBucket


def test_bucket_holds_the_tokens_of_one_second_at_most() -> None:
    bucket = TokenBucket(0)
    later_ns = 100 * NS_PER_S
    taken = [bucket.try_take(later_ns, 3.0) for _ in range(4)]
    assert taken == [True, True, True, False]


def test_reserved_token_has_to_wait_until_it_is_refilled() -> None:
    bucket = TokenBucket(0)
    waits_ns = [bucket.reserve_ns(0, 2.0) for _ in range(3)]
    assert waits_ns == [0, NS_PER_S // 2, NS_PER_S]
