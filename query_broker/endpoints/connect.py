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
        async with asyncio.timeout(timeout_ns / NS_PER_S):
            _, connection = await loop.create_connection(make_connection, *address)
    except TimeoutError:
        raise ConnectError(address, "no connection in time") from None
    except OSError as error:
        raise ConnectError(address, str(error)) from error
    except asyncio.CancelledError:
        raise ConnectError(address, "given up") from None
    return connection
