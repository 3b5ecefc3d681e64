"""The lock and status files through which the processes of one broker find each other.

The files are in a folder that the processes share. Each process holds its lock until it ends, so a
free lock belongs to a process that was killed, and its files are removed unread.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
from contextlib import suppress
from pathlib import Path

from .process_status import ProcessStatus, StatusFormatError, decode_status

LOCK_SUFFIX = ".lock"
STATUS_SUFFIX = ".json"
# Only this many characters of a status file are read: more than a status with a cell map takes. A
# larger file was not written by a broker, and must not fill the memory.
MAX_STATUS_CHARACTERS = 1 << 20
OWNER_ONLY_MODE = 0o600  # the files name endpoints and tenants
CREATE_FLAGS = os.O_CREAT | os.O_RDWR | os.O_CLOEXEC
CLOSED_DESCRIPTOR = -1


class StatusFiles:
    """Owns the lock and the status file of this process, and reads those of the others.

    Attributes:
        prefix: The common prefix of the file names of all processes of this broker.
        own_name: The name of this process's files, without the suffix.
    """

    def __init__(self, folder: Path, broker_name: str) -> None:
        """Choose the file names; nothing is created before ``create``."""
        self.folder = folder
        broker = hashlib.blake2b(broker_name.encode(), digest_size=6).hexdigest()
        self.prefix = f"larchhall-{broker}-"
        # Processes in different containers may have the same process id.
        self.own_name = f"{self.prefix}{os.getpid()}-{os.urandom(4).hex()}"
        self._lock_descriptor: int | None = None
        self._status_descriptor = CLOSED_DESCRIPTOR
        self._max_written_bytes = 0

    @property
    def created(self) -> bool:
        """Whether both files of this process exist."""
        return self._lock_descriptor is not None and self._status_descriptor != CLOSED_DESCRIPTOR

    def create(self) -> None:
        """Take the lock, create the status file, then make the lock visible to the others.

        Raises:
            OSError: A file cannot be created. ``remove_own`` removes those that were created.
        """
        # If the lock file were visible before it is locked, it would look like that of a killed
        # process.
        hidden_path = self.folder / f".{self.own_name}"
        self._lock_descriptor = os.open(hidden_path, CREATE_FLAGS, OWNER_ONLY_MODE)
        fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self._status_descriptor = os.open(
            self.folder / f"{self.own_name}{STATUS_SUFFIX}", CREATE_FLAGS, OWNER_ONLY_MODE
        )
        os.rename(hidden_path, self.folder / f"{self.own_name}{LOCK_SUFFIX}")

    def remove_own(self) -> None:
        """Remove the files of this process and release its lock."""
        if self._lock_descriptor is None:
            return
        self.remove(self.own_name)
        os.close(self._lock_descriptor)
        self._lock_descriptor = None
        if self._status_descriptor != CLOSED_DESCRIPTOR:
            os.close(self._status_descriptor)
            self._status_descriptor = CLOSED_DESCRIPTOR

    def write(self, status: bytes) -> None:
        """Overwrite the status of this process.

        Replacing the file by a rename flushes it to the disk first, which blocks the event loop for
        80 to 400 ms. The file is therefore written in place, and padded with spaces to overwrite a
        longer status; a reader detects an incomplete status by the checksum.

        Raises:
            OSError: The file cannot be written.
        """
        self._max_written_bytes = max(self._max_written_bytes, len(status))
        os.pwrite(self._status_descriptor, status.ljust(self._max_written_bytes), 0)

    def other_names(self) -> list[str]:
        """Return the names of the other processes with a visible lock file, alive or not.

        Raises:
            OSError: The folder cannot be read.
        """
        own_lock = f"{self.own_name}{LOCK_SUFFIX}"
        return [
            file_name.removesuffix(LOCK_SUFFIX)
            for file_name in os.listdir(self.folder)
            if file_name.startswith(self.prefix)
            and file_name.endswith(LOCK_SUFFIX)
            and file_name != own_lock
        ]

    def is_alive(self, name: str) -> bool:
        """Return whether a process holds the lock of this name."""
        try:
            lock = os.open(self.folder / f"{name}{LOCK_SUFFIX}", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(lock)
        return False

    def read(self, name: str) -> ProcessStatus | None:
        """Return the status of a process; None if it is missing, incomplete or not valid."""
        try:
            with open(self.folder / f"{name}{STATUS_SUFFIX}", encoding="utf-8") as file:
                return decode_status(file.read(MAX_STATUS_CHARACTERS))
        except (OSError, UnicodeDecodeError, StatusFormatError):
            return None

    def remove(self, name: str) -> None:
        """Remove the files of a process that exist."""
        for suffix in (STATUS_SUFFIX, LOCK_SUFFIX):
            with suppress(OSError):
                os.unlink(self.folder / f"{name}{suffix}")
