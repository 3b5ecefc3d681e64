"""The endpoint snapshot on disk: read at the start, saved while the broker serves."""

from __future__ import annotations

import asyncio
import os
from contextlib import suppress
from functools import partial
from typing import Any

from ..decisions.facade import EndpointState
from ..discovery.event_codec import InvalidEventError, ListedEndpoint, parse_event
from ..endpoints.endpoint_table import EndpointTable
from ..log import LogWriter
from ..timer_wheel import Clock
from .endpoint_snapshot import (
    MAX_FILE_BYTES,
    EndpointSnapshot,
    EndpointSnapshotError,
    decode,
    encode,
)
from .settings import NS_PER_SECOND, StartupSettings

#: Time between two checks whether the list has changed since it was saved.
SAVE_INTERVAL_NS = 5 * NS_PER_SECOND

NS_PER_MILLISECOND = 1_000_000

#: The states of an endpoint, as the discovery service writes them.
STATE_NAMES = {
    EndpointState.READY: "in_service",
    EndpointState.DRAINING: "terminating",
    EndpointState.REMOVED: "terminated",
}

#: In place of an offset: this process has not saved any list.
NEVER_SAVED = -1


def target_fields(target: ListedEndpoint) -> dict[str, Any]:
    """Return an endpoint as the discovery service writes it."""
    return {
        "uid": target.uid,
        "endpoint": f"{target.host}:{target.port}",
        "az": target.zone,
        "model": target.kind,
        "pod_group": target.cell,
        "state": STATE_NAMES[target.state],
        "capacity_hint": target.weight,
        "boot_ms": target.started_ns // NS_PER_MILLISECOND,
    }


def listed_targets(table: EndpointTable) -> tuple[dict[str, Any], ...]:
    """Return the endpoints of a table that are not removed."""
    return tuple(
        target_fields(known.target)
        for known in table.by_uid.values()
        if known.target.state is not EndpointState.REMOVED
    )


class SnapshotStore:
    """The file of the endpoint snapshot. It is written on a thread while the broker serves."""

    def __init__(
        self,
        settings: StartupSettings,
        clock: Clock,
        log: LogWriter,
        table: EndpointTable,
    ) -> None:
        """Create the store; the file is not read yet.

        Args:
            settings: They name the file, the age up to which it is used, and the installation.
            clock: The clock of the node.
            log: Writes a log line: its kind and its text.
            table: The endpoints that are saved.
        """
        self._path = settings.snapshot_path
        self._max_age_ns = settings.snapshot_max_age_ns
        self._installation = settings.installation
        self._clock = clock
        self._log = log
        self._table = table
        self._last_check_ns = clock.now()
        self._saving = False
        self._saved_offset = NEVER_SAVED

    @property
    def enabled(self) -> bool:
        """Whether the operators have named a file."""
        return bool(self._path)

    def read(self) -> EndpointSnapshot | None:
        """Return the snapshot if there is one that may be used.

        A file that is not to be used is renamed, with ``.bad`` at its end, and the log says why.
        """
        if not self._path:
            return None
        try:
            return self._read_file()
        except FileNotFoundError:
            return None
        except (EndpointSnapshotError, InvalidEventError, UnicodeDecodeError) as error:
            self._log_problem(f"{self._path}: {error}; set aside")
            self._set_aside()
        except OSError as error:
            self._log_problem(f"{self._path}: {error}")
        return None

    def save_if_due(self, now_ns: int, offset: int, confirmed: bool) -> None:
        """Begin to save the list if the interval is over and the list has changed.

        Args:
            now_ns: The time in nanoseconds.
            offset: Number of the last watch event that the list includes.
            confirmed: Whether the list is from another source than the snapshot.
        """
        if not self._path or now_ns - self._last_check_ns < SAVE_INTERVAL_NS:
            return
        self._last_check_ns = now_ns
        if self._saving or not confirmed or offset == self._saved_offset:
            return
        self._saving = True
        text = self._encoded(offset, now_ns)
        loop = asyncio.get_running_loop()
        future = loop.run_in_executor(None, write_atomically, self._path, text)
        future.add_done_callback(partial(self._saved, offset=offset))

    def save_now(self, offset: int) -> None:
        """Save the list, if it has changed, before the process ends; blocks on the disk."""
        if not self._path or offset == self._saved_offset:
            return
        text = self._encoded(offset, self._clock.now())
        try:
            write_atomically(self._path, text)
        except OSError as error:
            self._log_problem(f"not kept: {error}")

    def _read_file(self) -> EndpointSnapshot:
        with open(self._path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_BYTES)
        snapshot = decode(text, self._installation, self._clock.now(), self._max_age_ns)
        parse_event(snapshot.event())  # raises if the discovery client could not read it
        return snapshot

    def _set_aside(self) -> None:
        try:
            os.replace(self._path, f"{self._path}.bad")
        except OSError as error:
            self._log_problem(f"{self._path}: {error}")

    def _encoded(self, offset: int, now_ns: int) -> str:
        return encode(
            EndpointSnapshot(self._installation, offset, now_ns, listed_targets(self._table))
        )

    def _saved(self, future: asyncio.Future[None], offset: int) -> None:
        self._saving = False
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self._saved_offset = offset
        else:
            self._log_problem(f"not kept: {error}")

    def _log_problem(self, problem: str) -> None:
        self._log("start", f"endpoint snapshot: {problem}")


def write_atomically(path: str, text: str) -> None:
    """Write a file by rename: a reader sees all of the old content or all of the new.

    Blocks on the disk.

    Raises:
        OSError: The file can't be written; nothing of it is left behind.
    """
    temporary = f"{path}.{os.getpid()}.new"
    try:
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        _remove_if_there(temporary)
        raise


def _remove_if_there(path: str) -> None:
    with suppress(OSError):  # it may never have been created
        os.unlink(path)
