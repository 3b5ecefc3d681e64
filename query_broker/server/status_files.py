"""The files by which the processes of one broker find each other: a lock and a status for each.

They are in a folder that the processes share. A process holds its lock for as long as it lives,
so a lock that is free belongs to a process that was killed, and its files are removed unread.
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
# Characters of a status file that are read: more than a status with a map of cells takes. A larger
# file was not written by a broker and must not fill the memory.
MAX_STATUS_CHARACTERS = 1 << 20
OWNER_ONLY = 0o600  # the files name endpoints and tenants
CREATE_FLAGS = os.O_CREAT | os.O_RDWR | os.O_CLOEXEC
FILE_CLOSED = -1


class StatusFiles:
    """Owns the lock and the status file of this process, and reads those of the others.

    Attributes:
        prefix: What the file names of all processes of this broker begin with.
        own_name: The name of this process's files, without their suffix.
    """

    def __init__(self, folder: Path, broker_name: str) -> None:
        """Choose the file names; nothing is created before ``create``."""
        self.folder = folder
        broker = hashlib.blake2b(broker_name.encode(), digest_size=6).hexdigest()
        self.prefix = f"larchhall-{broker}-"
        # In containers of their own, two processes may have the same process id.
        self.own_name = f"{self.prefix}{os.getpid()}-{os.urandom(4).hex()}"
        self._lock: int | None = None
        self._status_file = FILE_CLOSED
        self._max_written_bytes = 0

    @property
    def created(self) -> bool:
        """Whether both files of this process exist."""
        return self._lock is not None and self._status_file != FILE_CLOSED

    def create(self) -> None:
        """Take the lock, create the status file, then make the lock visible to the others.

        Raises:
            OSError: A file cannot be created. ``remove_own`` cleans up what was.
        """
        # A lock that is visible before it is held looks like the lock of a killed process.
        hidden = self.folder / f".{self.own_name}"
        self._lock = os.open(hidden, CREATE_FLAGS, OWNER_ONLY)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self._status_file = os.open(
            self.folder / f"{self.own_name}{STATUS_SUFFIX}", CREATE_FLAGS, OWNER_ONLY
        )
        os.rename(hidden, self.folder / f"{self.own_name}{LOCK_SUFFIX}")

    def remove_own(self) -> None:
        """Remove the files of this process and release its lock."""
        if self._lock is None:
            return
        self.remove(self.own_name)
        os.close(self._lock)
        self._lock = None
        if self._status_file != FILE_CLOSED:
            os.close(self._status_file)
            self._status_file = FILE_CLOSED

    def write(self, status: bytes) -> None:
        """Write the status of this process over the one before.

        A file that is replaced by a rename is flushed to the disk first, which stops the event loop
        for 80 to 400 ms. So it is written in place, padded with spaces over a longer one; a reader
        knows an incomplete status by its checksum.

        Raises:
            OSError: The file cannot be written.
        """
        self._max_written_bytes = max(self._max_written_bytes, len(status))
        os.pwrite(self._status_file, status.ljust(self._max_written_bytes), 0)

    def other_names(self) -> list[str]:
        """Return the names of the other processes whose lock is visible, alive or not.

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
        """Return the status of a process; None while it is missing, incomplete or not ours."""
        try:
            with open(self.folder / f"{name}{STATUS_SUFFIX}", encoding="utf-8") as file:
                return decode_status(file.read(MAX_STATUS_CHARACTERS))
        except (OSError, UnicodeDecodeError, StatusFormatError):
            return None

    def remove(self, name: str) -> None:
        """Remove the files of a process, as far as they are there."""
        for suffix in (STATUS_SUFFIX, LOCK_SUFFIX):
            with suppress(OSError):
                os.unlink(self.folder / f"{name}{suffix}")
