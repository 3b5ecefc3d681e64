"""Splits lists of items into message bodies that fit into a datagram. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import TypeVar

MAX_BODY_BYTES = 1_000

Item = TypeVar("Item")


def message_bodies(
    items: Sequence[Item], encode: Callable[[tuple[Item, ...]], bytes]
) -> Iterator[bytes]:
    """Pack the items, in order, into encoded bodies of at most `MAX_BODY_BYTES` each.

    An item that exceeds `MAX_BODY_BYTES` on its own is dropped.
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
