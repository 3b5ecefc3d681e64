"""Golden form of the status file by which two processes of one broker know each other."""

from __future__ import annotations

import fcntl
import json
import os
import re
import stat
from collections.abc import Iterable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

from query_broker.cells.node import CellNode
from query_broker.decisions.facade import OutstandingWork
from query_broker.endpoints.administrative_state import AdministrativeState
from query_broker.server import process_status
from query_broker.server.peer_process import PeerProcesses
from query_broker.server.process_status import ProcessStatus

from .cells import CELLS_STATUS_TEXT

NS_PER_S = 1_000_000_000
NAME_PREFIX = "larchhall-3655ab351b91-"
STATUS_TEXT = (
    '{"accepting": true, "clients": 3, "words": {"s-1": [1700, true], "z\\u00fcric'
    'h": [1800, false]}, "out": {"7": [2, 3000000, 0], "4000000001": [1, 2, 3]}, '
    '"sum": 3716167032}'
)
STATUS_SUM = 3716167032
ADMINISTRATIVE_STATES = {
    "s-1": AdministrativeState(1_700, disabled=True),
    "zürich": AdministrativeState(1_800, disabled=False),
}
OUTSTANDING_WORK = {7: OutstandingWork(2, 3_000_000, 0), 4_000_000_001: OutstandingWork(1, 2, 3)}


class StatusNode:
    """As much of a node as its status file needs; it records what it reads of other processes."""

    def __init__(self, extension: dict[str, Any]) -> None:
        self.config = SimpleNamespace(name="broker-1")
        self.clock = SimpleNamespace(now=lambda: 5 * NS_PER_S)
        self.applied_states: list[tuple[str, AdministrativeState]] = []
        self.peer_statuses: list[ProcessStatus] = []
        self.endpoint_list_known = True
        self.clients = [1, 2, 3]
        self.extension = extension
        self.dispatcher = SimpleNamespace(
            administrative_states=SimpleNamespace(states=dict(ADMINISTRATIVE_STATES)),
            facade=SimpleNamespace(outstanding=lambda now: dict(OUTSTANDING_WORK)),
            apply_administrative_state=self.apply_administrative_state,
        )

    def apply_administrative_state(self, uid: str, state: AdministrativeState) -> None:
        """Record an administrative state that another process has given."""
        self.applied_states.append((uid, state))

    def status_extension(self) -> dict[str, Any]:
        """Return what the node's subsystems add to the status file."""
        return self.extension

    def apply_peer_statuses(self, statuses: Iterable[ProcessStatus]) -> None:
        """Record the newest statuses of the other processes."""
        self.peer_statuses = list(statuses)

    def log(self, kind: str, text: str) -> None:
        """Write nothing."""


def peer_processes(node: StatusNode, folder: Path) -> PeerProcesses:
    """Return the exchange of this process's status in a folder."""
    return PeerProcesses(cast(Any, node), str(folder))


def test_status_file_is_written_byte_for_byte(tmp_path: Path) -> None:
    own = peer_processes(StatusNode({}), tmp_path)
    own.start()
    lock, text = sorted(tmp_path.iterdir(), key=lambda path: path.suffix == ".json")
    assert (lock.suffix, text.suffix) == (".lock", ".json")
    assert lock.stem == text.stem
    assert re.fullmatch(re.escape(NAME_PREFIX) + rf"{os.getpid()}-[0-9a-f]{{8}}", text.stem)
    assert text.read_bytes() == STATUS_TEXT.encode()
    assert lock.read_bytes() == b""
    assert [stat.S_IMODE(path.stat().st_mode) for path in (lock, text)] == [0o600, 0o600]
    own.stop()
    assert os.listdir(tmp_path) == []


def test_status_file_of_a_node_with_cells(cell_node: CellNode, tmp_path: Path) -> None:
    own = peer_processes(StatusNode(cell_node.status_extension()), tmp_path)
    own.start()
    (path,) = tmp_path.glob("*.json")
    content = path.read_bytes()
    own.stop()
    status, _, _ = STATUS_TEXT.partition(', "sum"')
    cells = CELLS_STATUS_TEXT[1:-1]
    assert content == f'{status}, {cells}, "sum": 2925436213}}'.encode()


def test_status_file_of_another_process_is_read(tmp_path: Path) -> None:
    name = NAME_PREFIX + "41-00ff00ff"
    (tmp_path / f"{name}.json").write_text(STATUS_TEXT + "   ")  # padded to the longest text so far
    node = StatusNode({})
    own = peer_processes(node, tmp_path)
    with open(tmp_path / f"{name}.lock", "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        own.poll()
    status = ProcessStatus(
        accepting=True,
        clients=3,
        administrative_states=ADMINISTRATIVE_STATES,
        outstanding_work=OUTSTANDING_WORK,
        cells=None,
    )
    assert own.statuses == {name: status}
    assert node.peer_statuses == [status]
    assert node.applied_states == list(ADMINISTRATIVE_STATES.items())


def test_checksum_of_a_status_file() -> None:
    fields = json.loads(STATUS_TEXT)
    assert fields.pop("sum") == STATUS_SUM
    assert process_status.checksum(fields) == STATUS_SUM


def test_checksum_of_the_status_of_an_idle_process() -> None:
    assert process_status.checksum({"accepting": False, "clients": 0}) == 2576929581


def test_status_of_a_process_that_has_written_no_fields() -> None:
    assert process_status.status_from_fields({}) == ProcessStatus(
        accepting=False,
        clients=0,
        administrative_states={},
        outstanding_work={},
        cells=None,
    )
