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


# A timer that fires this much later than it was due indicates a stall of this process.
STALL_THRESHOLD_S = 0.05
# Extra time after a stall, in which the event loop polls its sockets.
SOCKET_POLL_DELAY_S = 0.02


class ConnectTimer:
    """Times out a connect, but not before the event loop has polled the connect's socket.

    After a stall of this process the loop runs overdue timers before it polls the sockets. The
    connection may have been established during the stall: counting it as a failed connect would
    eject a healthy endpoint and reject the requests that wait for the connection.
    """

    def __init__(self, timeout: asyncio.Timeout, timeout_s: float) -> None:
        """Start the timer.

        Args:
            timeout: Cancels the connect once it is rescheduled to the present time.
            timeout_s: Seconds until the connect times out.
        """
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._due_s = self._loop.time() + timeout_s
        self._handle = self._loop.call_at(self._due_s, self._fire)

    def cancel(self) -> None:
        """Stop the timer: the connect has ended."""
        self._handle.cancel()

    def _fire(self) -> None:
        now_s = self._loop.time()
        if now_s - self._due_s > STALL_THRESHOLD_S:
            self._handle = self._loop.call_later(SOCKET_POLL_DELAY_S, self._expire)
        else:
            self._expire()

    def _expire(self) -> None:
        self._timeout.reschedule(self._loop.time())


class ConnectError(QueryBrokerError):
    """A connection could not be established.

    Attributes:
        result: The result of the attempts that waited for the connection.
        address: The address of the endpoint.
        reason: Why the connect failed, for the log.
    """

    result: ClassVar[AttemptResult] = AttemptResult.CONNECT_FAILED

    def __init__(self, address: Address, reason: str) -> None:
        """Compose the message from the address and the reason."""
        super().__init__(f"{address.host}:{address.port}: {reason}")
        self.address = address
        self.reason = reason


class NoDescriptorError(ConnectError):
    """The budget of descriptors for engine connections is used up.

    This is not a fault of the endpoint: reported as a failed connect, it would eject the busiest
    endpoints as outliers.
    """

    result = AttemptResult.NOT_SENT

    def __init__(self, address: Address) -> None:
        """Use the text of an EMFILE error as the reason."""
        error = OSError(errno.EMFILE, "no descriptor left for engine connections")
        super().__init__(address, str(error))


async def connect(
    make_connection: Callable[[], EngineConnection], address: Address, timeout_ns: int
) -> EngineConnection:
    """Open one connection.

    Args:
        make_connection: Makes the protocol object of the connection.
        address: Where the endpoint listens.
        timeout_ns: How long the connect may take.

    Raises:
        ConnectError: The connection could not be established, or the task was cancelled: a
            cancelled connect counts as failed, so that the attempts waiting for it are reported.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as timeout:
            timer = ConnectTimer(timeout, timeout_ns / NS_PER_S)
            try:
                _, connection = await loop.create_connection(make_connection, *address)
            finally:
                timer.cancel()
    except TimeoutError:
        raise ConnectError(address, "no connection in time") from None
    except OSError as error:
        raise ConnectError(address, str(error)) from error
    except asyncio.CancelledError:
        raise ConnectError(address, "connect cancelled") from None
    return connection
