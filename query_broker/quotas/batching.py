"""Splits lists of items into message bodies that fit into a datagram. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import TypeVar

MAX_BODY_BYTES = 1_000

Item = TypeVar("Item")


def message_bodies(
    items: Sequence[Item], encode: Callable[[tuple[Item, ...]], bytes]
) -> Iterator[bytes]:
    """Yield as few encoded bodies as the items fit into, in their order.

    An item that alone exceeds `MAX_BODY_BYTES` is left out.
    """
    batch: tuple[Item, ...] = ()
    body = b""
    for item in items:
        extended = (*batch, item)
        extended_body = encode(extended)
        if len(extended_body) > MAX_BODY_BYTES:
            if batch:
                yield body
            extended = (item,)
            extended_body = encode(extended)
            if len(extended_body) > MAX_BODY_BYTES:
                extended = ()
        batch = extended
        body = extended_body
    if batch:
        yield body
