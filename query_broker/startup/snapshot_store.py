"""Stores the endpoint snapshot on disk: read at the start, saved while the broker serves."""

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

#: Time between two checks whether the list has changed since it was last saved.
SAVE_INTERVAL_NS = 5 * NS_PER_SECOND

NS_PER_MILLISECOND = 1_000_000

#: The states of an endpoint in the form of the discovery service.
STATE_NAMES = {
    EndpointState.READY: "in_service",
    EndpointState.DRAINING: "terminating",
    EndpointState.REMOVED: "terminated",
}

#: Offset that stands for no list saved by this process yet.
NEVER_SAVED = -1


def target_fields(target: ListedEndpoint) -> dict[str, Any]:
    """Return an endpoint in the form of the discovery service."""
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
        target_fields(entry.target)
        for entry in table.by_uid.values()
        if entry.target.state is not EndpointState.REMOVED
    )


class SnapshotStore:
    """Reads and writes the snapshot file; a thread writes it while the broker serves."""

    def __init__(
        self,
        settings: StartupSettings,
        clock: Clock,
        log: LogWriter,
        table: EndpointTable,
    ) -> None:
        """Create the store; the file is not read yet.

        Args:
            settings: The path and the maximum age of the snapshot, and the installation.
            clock: The clock of the node.
            log: Writes a log line: its kind and its text.
            table: Holds the endpoints that are saved.
        """
        self._path = settings.snapshot_path
        self._max_age_ns = settings.snapshot_max_age_ns
        self._installation = settings.installation
        self._clock = clock
        self._log = log
        self._table = table
        self._last_check_ns = clock.now()
        self._is_saving = False
        self._saved_offset = NEVER_SAVED

    @property
    def enabled(self) -> bool:
        """Whether a snapshot file is configured."""
        return bool(self._path)

    def read(self) -> EndpointSnapshot | None:
        """Return the snapshot if there is a usable one.

        An unusable file is renamed with the suffix ``.bad``, and the reason is logged.
        """
        if not self._path:
            return None
        try:
            return self._read_file()
        except FileNotFoundError:
            return None
        except (EndpointSnapshotError, InvalidEventError, UnicodeDecodeError) as error:
            self._log_problem(f"{self._path}: {error}; set aside")
            self._rename_to_bad()
        except OSError as error:
            self._log_problem(f"{self._path}: {error}")
        return None

    def save_if_due(self, now_ns: int, offset: int, confirmed: bool) -> None:
        """Start saving the list if ``SAVE_INTERVAL_NS`` has passed and the list has changed.

        Args:
            now_ns: The time in nanoseconds.
            offset: Number of the last watch event that the list includes.
            confirmed: Whether the list has another source than the snapshot.
        """
        if not self._path or now_ns - self._last_check_ns < SAVE_INTERVAL_NS:
            return
        self._last_check_ns = now_ns
        if self._is_saving or not confirmed or offset == self._saved_offset:
            return
        self._is_saving = True
        text = self._encoded(offset, now_ns)
        loop = asyncio.get_running_loop()
        future = loop.run_in_executor(None, write_atomically, self._path, text)
        future.add_done_callback(partial(self._save_ended, offset=offset))

    def save_now(self, offset: int) -> None:
        """Save the list if it has changed, before the process ends. Blocks on the disk."""
        if not self._path or offset == self._saved_offset:
            return
        text = self._encoded(offset, self._clock.now())
        try:
            write_atomically(self._path, text)
        except OSError as error:
            self._log_problem(f"not saved: {error}")

    def _read_file(self) -> EndpointSnapshot:
        with open(self._path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_BYTES)
        snapshot = decode(text, self._installation, self._clock.now(), self._max_age_ns)
        parse_event(snapshot.event())  # raises what the discovery client would raise
        return snapshot

    def _rename_to_bad(self) -> None:
        try:
            os.replace(self._path, f"{self._path}.bad")
        except OSError as error:
            self._log_problem(f"{self._path}: {error}")

    def _encoded(self, offset: int, now_ns: int) -> str:
        return encode(
            EndpointSnapshot(self._installation, offset, now_ns, listed_targets(self._table))
        )

    def _save_ended(self, future: asyncio.Future[None], offset: int) -> None:
        self._is_saving = False
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self._saved_offset = offset
        else:
            self._log_problem(f"not saved: {error}")

    def _log_problem(self, problem: str) -> None:
        self._log("start", f"endpoint snapshot: {problem}")


def write_atomically(path: str, text: str) -> None:
    """Replace a file by a rename: a reader sees either the old or the new content.

    Blocks on the disk.

    Raises:
        OSError: The file can't be written; the temporary file has been removed.
    """
    temporary = f"{path}.{os.getpid()}.new"
    try:
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        _remove_if_present(temporary)
        raise


def _remove_if_present(path: str) -> None:
    with suppress(OSError):  # it may never have been created
        os.unlink(path)
