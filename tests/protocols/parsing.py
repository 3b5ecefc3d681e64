"""Feeds the incremental parsers of all protocols with data in pieces."""

from __future__ import annotations

from typing import Any

from query_broker.protocols import client_frames as frames


def parse_piece(parser: Any, data: bytes, parsed: list[Any]) -> None:
    """Feed one piece, and append the parsed items, including those before an error."""
    if isinstance(parser, frames.FrameParser):
        parser.feed(data)
        while (frame := parser.next()) is not None:
            parsed.append(frame)
    else:
        for item in parser.feed(data):
            parsed.append(item)


def parse_in_pieces(parser: Any, data: bytes, piece_bytes: int) -> list[Any]:
    """Feed data in pieces of ``piece_bytes`` bytes, and return all parsed items."""
    parsed: list[Any] = []
    for start in range(0, len(data), piece_bytes):
        parse_piece(parser, data[start : start + piece_bytes], parsed)
    return parsed
