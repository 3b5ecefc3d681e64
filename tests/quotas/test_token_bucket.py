"""Token buckets: what they hold, and how long a reserved token takes."""

from __future__ import annotations

from query_broker.quotas.settings import NS_PER_S
from query_broker.token_bucket import TokenBucket


def test_bucket_holds_the_tokens_of_one_second_at_most() -> None:
    bucket = TokenBucket(0)
    later_ns = 100 * NS_PER_S
    taken = [bucket.try_take(later_ns, 3.0) for _ in range(4)]
    assert taken == [True, True, True, False]


def test_bucket_tells_how_long_a_reserved_token_takes_to_come() -> None:
    bucket = TokenBucket(0)
    waits_ns = [bucket.reserve_ns(0, 2.0) for _ in range(3)]
    assert waits_ns == [0, NS_PER_S // 2, NS_PER_S]
