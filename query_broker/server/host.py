"""What the parts of a node know of it: not the node itself, so that it can be composed of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping
from typing import Any, Protocol

from ..config.reading import Config
from ..dispatch.dispatcher import Dispatcher
from ..protocols.client_connection import ClientConnection
from ..timer_wheel import Clock


class Processes(Protocol):
    """The other processes of this broker, and what they are told of us."""

    accepting: bool

    @property
    def others(self) -> Mapping[str, dict[str, Any]]: ...

    def poll(self) -> None: ...

    def successor(self) -> bool: ...

    def tell(self) -> None: ...


class Host(Protocol):
    closing_announced: bool  # the word to leave has gone out
    endpoint_list_known: bool  # the engine list is there

    @property
    def config(self) -> Config: ...

    @property
    def clock(self) -> Clock: ...

    @property
    def log(self) -> Callable[[str, str], None]: ...

    @property
    def dispatcher(self) -> Dispatcher: ...

    @property
    def clients(self) -> Collection[ClientConnection]: ...

    @property
    def partial(self) -> int:
        """Bytes of frames that are not whole yet."""

    @property
    def server(self) -> asyncio.Server | None: ...

    @property
    def peer_processes(self) -> Processes | None: ...

    def ready(self) -> bool: ...

    def idle(self) -> bool: ...

    def stop(self) -> None: ...

    def share(self, others: Collection[dict[str, Any]]) -> None: ...

    def tells(self) -> dict[str, Any]: ...
