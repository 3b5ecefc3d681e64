"""One attempt to open a connection to an endpoint."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import ClassVar

from ..decisions.facade import AttemptResult
from ..discovery.event_codec import Address
from ..errors import QueryBrokerError
from ..protocols.engine_connection import EngineConnection

NS_PER_S = 1e9


# A timer that fires later than this shows a stall of this process.
STALL_S = 0.05
# Time in which the event loop comes to its sockets after a stall.
AFTER_STALL_S = 0.02


class ConnectTimer:
    """Ends a connect after a time, but not before the event loop has looked at its socket.

    After a stall of this process the timer is due before the loop comes to the sockets. The
    connection may have come up long ago: to count that as a failed connect would eject an endpoint
    that is well, and reject the requests that wait for the connection.
    """

    def __init__(self, limit: asyncio.Timeout, timeout_s: float) -> None:
        """Start the timer.

        Args:
            limit: Ends the connect once it is rescheduled to the present time.
            timeout_s: Seconds until then.
        """
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._due_s = self._loop.time() + timeout_s
        self._handle = self._loop.call_at(self._due_s, self._fire)

    def cancel(self) -> None:
        """Stop the timer: the connect has ended."""
        self._handle.cancel()

    def _fire(self) -> None:
        now_s = self._loop.time()
        if now_s - self._due_s > STALL_S:
            self._handle = self._loop.call_later(AFTER_STALL_S, self._expire)
        else:
            self._expire()

    def _expire(self) -> None:
        self._limit.reschedule(self._loop.time())


class ConnectError(QueryBrokerError):
    """No connection came up.

    Attributes:
        result: The result of the attempts that waited for the connection.
        address: The address that was connected to.
        reason: Why it failed, for the log.
    """

    result: ClassVar[AttemptResult] = AttemptResult.CONNECT_FAILED

    def __init__(self, address: Address, reason: str) -> None:
        """Compose the text from the address and the reason."""
        super().__init__(f"{address.host}:{address.port}: {reason}")
        self.address = address
        self.reason = reason


class NoDescriptorError(ConnectError):
    """The budget of descriptors is spent.

    That is no fault of the endpoint: if it were reported as a failed connect, the busiest endpoints
    would be ejected as outliers.
    """

    result = AttemptResult.NOT_SENT

    def __init__(self, address: Address) -> None:
        """Use the text of the system's own error as the reason."""
        error = OSError(errno.EMFILE, "no descriptor is left for engines")
        super().__init__(address, str(error))


async def connect(
    make_connection: Callable[[], EngineConnection], address: Address, timeout_ns: int
) -> EngineConnection:
    """Open one connection.

    Args:
        make_connection: Makes the protocol object of the connection.
        address: Where the endpoint listens.
        timeout_ns: How long the connection may take to come up.

    Raises:
        ConnectError: The connection didn't come up, or the task was cancelled: a cancelled connect
            counts as failed, so that the attempts which wait for it are reported.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as limit:
            timer = ConnectTimer(limit, timeout_ns / NS_PER_S)
            try:
                _, connection = await loop.create_connection(make_connection, *address)
            finally:
                timer.cancel()
    except TimeoutError:
        raise ConnectError(address, "no connection in time") from None
    except OSError as error:
        raise ConnectError(address, str(error)) from error
    except asyncio.CancelledError:
        raise ConnectError(address, "given up") from None
    return connection
