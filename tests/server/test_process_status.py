"""The status files that two processes of one broker exchange."""

from __future__ import annotations

import fcntl
import socket
from pathlib import Path
from typing import Any

import pytest

from query_broker.server.process_status import StatusFormatError, status_from_fields

from ..support.sockets import make_config, on_uvloop, target_entry, until
from .co_processes import co_process, peer_processes

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_files_of_a_killed_process_are_removed_unread(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(make_config(target_entry("s-1", 9)), listener, tmp_path) as rig:
            name = peer_processes(rig).files.prefix + "9-dead"
            (tmp_path / f"{name}.json").write_text(
                '{"accepting": true, "words": {"s-1": [9, true]}}'
            )
            (tmp_path / f"{name}.lock").touch()
            with open(tmp_path / f"{peer_processes(rig).files.prefix}8-alive.lock", "w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)
                (tmp_path / f"{peer_processes(rig).files.prefix}8-alive.json").write_text(
                    '{"words": {"s-1": ['
                )
                await until(lambda: peer_processes(rig).others)
                assert not (tmp_path / f"{name}.json").exists()
                assert not rig.node.dispatcher.administrative_states.is_disabled("s-1")
                # Its file is incomplete: nothing is known of it.
                assert not peer_processes(rig).has_successor()


@on_uvloop
async def test_a_status_is_written_in_place_and_an_incomplete_one_known_by_its_checksum(
    tmp_path: Path,
) -> None:
    """To replace the file flushes it to the disk, and the loop stands still meanwhile."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(
            make_config(target_entry("s-1", 9), operator=True), listener, tmp_path
        ) as rig:
            ours = peer_processes(rig)
            (file,) = tmp_path.glob("*.json")
            inode = file.stat().st_ino
            name = file.name.removesuffix(".json")
            assert rig.node.admin_api.set_endpoint_disabled("s-1", disabled=True)
            long = file.read_bytes()
            status = ours.files.read(name)
            assert status is not None
            assert "s-1" in status.administrative_states
            rig.node.dispatcher.administrative_states.states.clear()
            ours.publish_status()
            short = file.read_bytes()
            status = ours.files.read(name)
            assert file.stat().st_ino == inode
            assert status is not None
            assert status.administrative_states == {}
            incomplete = 0
            for length in range(len(long)):
                file.write_bytes(short[:length] + long[length:])
                status = ours.files.read(name)
                assert status is None or status.administrative_states.keys() <= {"s-1"}
                incomplete += status is None
            assert incomplete > len(short.rstrip()) // 2


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {"words": 3},
        {"words": {"a": [1]}},
        {"out": {"x": [1, 2, 3]}},
        {"out": {"1": [1]}},
        {"clients": None},
    ],
    ids=["no object", "words", "a word", "too much work", "too little work", "clients"],
)
def test_a_status_file_of_another_program_is_rejected(raw: Any) -> None:
    with pytest.raises(StatusFormatError):
        status_from_fields(raw)
