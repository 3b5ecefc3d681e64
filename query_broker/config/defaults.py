"""Defaults and minimums of the keys of the configuration."""

from __future__ import annotations

from typing import Final

#: Name of a broker without a configured name, in the log and for its other processes.
DEFAULT_NAME: Final = "larchhall"

#: Seed of the random numbers, in hexadecimal as in the file.
DEFAULT_SEED: Final = "0"

#: File descriptors of a process, the usual limit of a shell (``ulimit -n``).
DEFAULT_SOCKETS: Final = 1_024

#: With fewer file descriptors, those reserved for the program itself leave none for clients and
#: endpoints.
MIN_SOCKETS: Final = 64

#: Memory of the process, in megabytes.
DEFAULT_MEMORY_MB: Final = 64

#: The interpreter and the program alone use nearly this much memory, in megabytes.
MIN_MEMORY_MB: Final = 32

#: Processor time that the platform grants, in seconds per second.
DEFAULT_CORES: Final = 1.0

#: Time in which a connection to an endpoint has to be established.
DEFAULT_CONNECT_TIMEOUT_NS: Final = 250_000_000

#: Time after which an unused connection to an endpoint is closed.
DEFAULT_CONNECTION_IDLE_NS: Final = 30_000_000_000

#: Requests that one connection to an endpoint carries at a time.
DEFAULT_STREAMS_PER_CONNECTION: Final = 32

#: Folder that the processes of one broker share if the environment does not set ``TMPDIR``.
DEFAULT_FOLDER: Final = "/tmp"
