"""Data engines with scripted answers, and brokers whose endpoint list contains them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from query_broker.endpoints.connection_pool import ConnectionPool
from query_broker.overriding import override
from query_broker.protocols import resp

from ..support.sockets import Engine, RunningBroker, make_config, running, target_entry


def silent_engine() -> Engine:
    """Return an engine that sends no answers by itself."""
    return Engine(lambda *_: None)


def engine_that_answers(result: bytes, body: bytes = b"") -> Engine:
    """Return an engine that answers every query with this result."""

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(resp.encode(parts[1], result, b"-", body))

    return Engine(script)


class EngineForLargeStatements(Engine):
    """An engine that reads statements of any size; the emulator's reads what a result may hold."""

    @override
    async def _serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        try:
            while True:
                parts = await _read_command(reader)
                self.commands.append(parts)
                self.command_writers.append(writer)
                self.script(self, parts, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass


async def _read_command(reader: asyncio.StreamReader) -> list[bytes]:
    parts = []
    for _ in range(await _read_length(reader)):
        size_bytes = await _read_length(reader)
        part = await reader.readexactly(size_bytes + len(b"\r\n"))
        parts.append(part[:size_bytes])
    return parts


async def _read_length(reader: asyncio.StreamReader) -> int:
    line = await reader.readline()
    if not line:
        raise asyncio.IncompleteReadError(b"", None)
    return int(line[1:])


def engine_that_writes_and_closes(data: bytes) -> Engine:
    """Return an engine that answers every command with these bytes and closes the connection."""

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        writer.close()

    return Engine(script)


def engine_with_pages(*bodies: bytes, stated_pages: int = 0) -> Engine:
    """Return an engine that serves a result in pages.

    If ``stated_pages`` exceeds the number of bodies, the missing pages are answered with an error.
    """

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            page_count = b"chunks=%d" % (stated_pages or len(bodies))
            writer.write(resp.encode(parts[1], b"served", page_count, bodies[0]))
        elif parts[0] == b"page" and int(parts[2]) < len(bodies):
            writer.write(resp.encode(parts[1], b"rows", b"at=" + parts[2], bodies[int(parts[2])]))
        elif parts[0] == b"page":
            writer.write(resp.encode(parts[1], b"crashed", b"-", b""))

    return Engine(script)


@asynccontextmanager
async def broker_with_engines(
    *engines: Engine, first_number: int = 1, **changes: Any
) -> AsyncIterator[RunningBroker]:
    """Start the engines and a broker whose endpoint list contains them as s-1, s-2 and so on."""
    targets = [
        target_entry(f"s-{number}", await engine.start())
        for number, engine in enumerate(engines, first_number)
    ]
    async with running(make_config(*targets, **changes)) as broker:
        yield broker


def first_pool(broker: RunningBroker) -> ConnectionPool:
    """Return the connection pool of the endpoint that was listed first."""
    return next(iter(broker.node.dispatcher.pools.by_number.values()))
