"""Setup errors, the modules loaded without the directive, and the files of emulated processes."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest
from click.testing import CliRunner

from query_broker.cli.main import main
from query_broker.emulator.cluster import MS
from query_broker.emulator.cluster import platform_settings as cluster_settings
from query_broker.emulator.processes import BrokerFleet, BrokerProcess, free_ports

from ..support.member_processes import LIMITS, OLD_KEY, members_directive
from ..support.sockets import write_config

pytestmark = pytest.mark.real_time


class SetupFault(NamedTuple):
    """A faulty setup with which a process refuses to start.

    Attributes:
        problem: Part of the error message.
        key_text: Content of the key file; None for no file.
        allows_messages: Whether the settings allow messages to peers.
        address_in_use: Whether another socket is listening on the address.
    """

    problem: str
    key_text: str | None = OLD_KEY
    allows_messages: bool = True
    address_in_use: bool = False


SETUP_FAULTS = {
    "messages to peers not allowed": SetupFault(
        "members: settings.policy_limits.peer_messages does not allow messages to peers",
        allows_messages=False,
    ),
    "no key file": SetupFault("members.key_file: ", key_text=None),
    "bad key file": SetupFault("members.key_file: ", key_text="x"),
    "address in use": SetupFault("members.address: ", address_in_use=True),
}


@pytest.mark.parametrize("fault", SETUP_FAULTS.values(), ids=SETUP_FAULTS)
def test_a_setup_fault_prints_one_line_and_exits_with_code_2(
    tmp_path: Path, fault: SetupFault
) -> None:
    limits = {**LIMITS, "peer_messages": fault.allows_messages}
    env = write_config(tmp_path, settings={**cluster_settings(), "policy_limits": limits})
    keys = tmp_path / "keys"
    if fault.key_text is not None:
        keys.write_text(fault.key_text)
    script = tmp_path / "ops.star"
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1] if fault.address_in_use else free_ports(1)[0]
        directive = members_directive(0, port, "", keys, [])
        script.write_text(directive.replace('advertise = "", ', ""))
        result = CliRunner().invoke(main, ["serve", "--operator-file", str(script)], env=env)
    assert result.exit_code == 2
    assert fault.problem in result.output
    assert len(result.output.strip().splitlines()) == 1


LIST_LOADED_MODULES = """
import sys
import query_broker.operator_config.script
import query_broker.operator_config.service
import query_broker.server.node
print([name for name in sys.modules if name.startswith(("msgspec", "query_broker.membership."))])
"""


def test_without_the_directive_only_the_settings_module_is_loaded() -> None:
    result = subprocess.run(
        [sys.executable, "-c", LIST_LOADED_MODULES],
        capture_output=True,
        text=True,
        check=True,
        cwd=Path(__file__).parents[2],
        env=os.environ,
    )
    assert result.stdout.strip() == "['query_broker.membership.settings']"


def test_each_emulated_process_has_its_own_script_and_port(tmp_path: Path) -> None:
    with BrokerFleet(2, {"settings": {}}, lambda number, port: f"# {number} {port}") as fleet:
        scripts = [(member.folder / "operators.star").read_text() for member in fleet.processes]
        assert scripts == [f"# {member.number} {member.peer_port}" for member in fleet.processes]
        assert isinstance(fleet.processes[0], BrokerProcess)
        assert MS == 1_000_000
