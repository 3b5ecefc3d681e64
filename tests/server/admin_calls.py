"""Calls to the admin API of a broker under test."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from ..support.sockets import RunningBroker, within


class AdminAnswer(NamedTuple):
    """The answer to a call."""

    status: int
    headers: dict[str, str]
    body: str


async def admin_call(broker: RunningBroker, raw: bytes) -> AdminAnswer:
    reader, writer = await asyncio.open_connection("127.0.0.1", broker.operator_port)
    writer.write(raw)
    head, _, body = (await within(reader.read())).decode().partition("\r\n\r\n")
    writer.close()
    status_line, *header_lines = head.split("\r\n")
    headers = {}
    for line in header_lines:
        name, value = line.split(": ", 1)
        headers[name.lower()] = value
    return AdminAnswer(int(status_line.split()[1]), headers, body)


async def read_metrics(broker: RunningBroker) -> dict[str, float]:
    """Return the value of each series by its name, without the common prefix of the names."""
    answer = await admin_call(broker, b"GET /metrics HTTP/1.1\r\n\r\n")
    assert answer.status == 200
    metrics = {}
    for line in answer.body.splitlines():
        if not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            metrics[name.removeprefix("edge_proxy_")] = float(value)
    return metrics


async def send_engine_action(broker: RunningBroker, action: str, uid: str = "s-1") -> int:
    """Disable or enable a data engine through the admin API; return the HTTP status."""
    raw = f"POST /data-engines/{action}/{uid} HTTP/1.1\r\n\r\n".encode()
    return (await admin_call(broker, raw)).status
