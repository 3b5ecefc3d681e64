"""Drives the parsers of all wires with data that comes in pieces."""

from __future__ import annotations

from typing import Any

from query_broker.protocols import client_frames as frames


def parse_piece(parser: Any, data: bytes, parsed: list[Any]) -> None:
    """Append what the parser returns for the piece: what comes before an error counts as well."""
    if isinstance(parser, frames.FrameParser):
        parser.feed(data)
        while (frame := parser.next()) is not None:
            parsed.append(frame)
    else:
        for item in parser.feed(data):
            parsed.append(item)


def parse_in_steps(parser: Any, data: bytes, step: int) -> list[Any]:
    """Return all that the parser returns, where each piece has so many bytes."""
    parsed: list[Any] = []
    for start in range(0, len(data), step):
        parse_piece(parser, data[start : start + step], parsed)
    return parsed
