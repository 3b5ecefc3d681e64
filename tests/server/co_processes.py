"""Processes of one broker that share an inherited listening socket."""

from __future__ import annotations

import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

from query_broker.config import Config
from query_broker.server.peer_process import PeerProcesses

from ..support.sockets import RunningBroker, running, until


@asynccontextmanager
async def co_process(
    config: Config, listener: socket.socket, folder: Path
) -> AsyncIterator[RunningBroker]:
    """Run a node that accepts connections on the inherited socket."""
    async with running(
        replace(config, accept_fd=os.dup(listener.fileno()), folder=str(folder))
    ) as broker:
        yield broker


def peer_processes(broker: RunningBroker) -> PeerProcesses:
    assert broker.node.peer_processes is not None
    return broker.node.peer_processes


async def meet(*brokers: RunningBroker) -> None:
    """Wait until each process has detected another one."""
    await until(lambda: all(peer_processes(broker).others for broker in brokers))
