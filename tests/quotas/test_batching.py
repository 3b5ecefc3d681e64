"""Packing of items into message bodies."""

from __future__ import annotations

from query_broker.quotas.batching import MAX_BODY_BYTES, message_bodies


def test_items_are_packed_into_few_bodies_and_oversized_ones_dropped() -> None:
    def encode(items: tuple[bytes, ...]) -> bytes:
        return b"".join(items)

    items = [b"a" * 600, b"b" * 400, b"c" * 1, b"d" * (MAX_BODY_BYTES + 1), b"e" * 2]
    bodies = list(message_bodies(items, encode))
    assert bodies == [b"a" * 600 + b"b" * 400, b"c", b"ee"]
