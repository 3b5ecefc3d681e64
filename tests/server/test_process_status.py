"""The status files that the processes of one broker exchange."""

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
        async with co_process(make_config(target_entry("s-1", 9)), listener, tmp_path) as broker:
            dead_name = peer_processes(broker).files.prefix + "9-dead"
            (tmp_path / f"{dead_name}.json").write_text(
                '{"accepting": true, "words": {"s-1": [9, true]}}'
            )
            (tmp_path / f"{dead_name}.lock").touch()
            with open(tmp_path / f"{peer_processes(broker).files.prefix}8-alive.lock", "w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)
                (tmp_path / f"{peer_processes(broker).files.prefix}8-alive.json").write_text(
                    '{"words": {"s-1": ['
                )
                await until(lambda: peer_processes(broker).others)
                assert not (tmp_path / f"{dead_name}.json").exists()
                assert not broker.node.dispatcher.administrative_states.is_disabled("s-1")
                # The status file of the live process is incomplete: its status is unknown.
                assert not peer_processes(broker).has_successor()


@on_uvloop
async def test_a_status_is_written_in_place_and_its_checksum_detects_an_incomplete_one(
    tmp_path: Path,
) -> None:
    """Replacing the file would flush it to the disk and block the event loop."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(
            make_config(target_entry("s-1", 9), operator=True), listener, tmp_path
        ) as broker:
            registry = peer_processes(broker)
            (file,) = tmp_path.glob("*.json")
            inode = file.stat().st_ino
            name = file.name.removesuffix(".json")
            assert broker.node.admin_api.set_endpoint_disabled("s-1", disabled=True)
            long_content = file.read_bytes()
            status = registry.files.read(name)
            assert status is not None
            assert "s-1" in status.administrative_states
            broker.node.dispatcher.administrative_states.states.clear()
            registry.publish_status()
            short_content = file.read_bytes()
            status = registry.files.read(name)
            assert file.stat().st_ino == inode
            assert status is not None
            assert status.administrative_states == {}
            incomplete_count = 0
            for length in range(len(long_content)):
                file.write_bytes(short_content[:length] + long_content[length:])
                status = registry.files.read(name)
                assert status is None or status.administrative_states.keys() <= {"s-1"}
                incomplete_count += status is None
            assert incomplete_count > len(short_content.rstrip()) // 2


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
    ids=[
        "not an object",
        "directives not an object",
        "incomplete directive",
        "endpoint not a number",
        "incomplete outstanding work",
        "clients null",
    ],
)
def test_status_fields_of_the_wrong_type_are_rejected(raw: Any) -> None:
    with pytest.raises(StatusFormatError):
        status_from_fields(raw)
