"""Defaults and minimums of the configuration's keys."""

from __future__ import annotations

from typing import Final

#: Name of a broker without a configured one, in the log and towards its other processes.
DEFAULT_NAME: Final = "larchhall"

#: Seed of the random draws, in hexadecimal as the file holds it.
DEFAULT_SEED: Final = "0"

#: Descriptors of a process with the usual limit of a shell (``ulimit -n``).
DEFAULT_SOCKETS: Final = 1_024

#: With fewer descriptors, those reserved for the program itself leave none for clients and
#: endpoints.
MIN_SOCKETS: Final = 64

#: Memory of the process, in megabytes.
DEFAULT_MEMORY_MB: Final = 64

#: The interpreter and the program alone use nearly this much, in megabytes.
MIN_MEMORY_MB: Final = 32

#: Processor time that the platform grants, in seconds a second.
DEFAULT_CORES: Final = 1.0

#: Time in which a connection to an endpoint has to be established.
DEFAULT_CONNECT_TIMEOUT_NS: Final = 250_000_000

#: Time after which an unused connection to an endpoint is closed.
DEFAULT_CONNECTION_IDLE_NS: Final = 30_000_000_000

#: Requests that one connection to an endpoint carries at a time.
DEFAULT_STREAMS: Final = 32

#: Folder shared by the processes of one broker, where the environment has no ``TMPDIR``.
DEFAULT_FOLDER: Final = "/tmp"
