"""Output of the command line about a start."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from query_broker.cli.main import main

from ..support import deployments
from ..support.sockets import on_uvloop, write_config
from .broker_processes import (
    emulated_cluster,
    fast_fleet,
    is_at_stage,
    make_raw_config,
    wait_for_status,
)

pytestmark = pytest.mark.real_time


def test_check_config_prints_the_call_window_of_the_fleet(tmp_path: Path) -> None:
    env = write_config(tmp_path, settings={**deployments.WAREHOUSE, "fleet_size": 300, "me": 7})
    operator_file = tmp_path / "ops.star"
    operator_file.write_text("start(list_connects = 100)")
    arguments = ["check-config", "--operator-file", str(operator_file)]
    result = CliRunner().invoke(main, arguments, env=env)
    assert result.exit_code == 0
    assert "place 7 of 300" in result.output
    assert "3.00 s at the most" in result.output


async def show_start(admin_port: int, *options: str) -> Result:
    """Run `start show` on the broker with this admin port."""
    arguments = ["start", "show", "--address", f"127.0.0.1:{admin_port}", *options]
    return await asyncio.to_thread(CliRunner().invoke, main, arguments)


@on_uvloop
async def test_start_show_prints_the_stages_in_order() -> None:
    async with emulated_cluster("s-1") as cluster:
        with fast_fleet(1, make_raw_config(cluster)) as brokers:
            brokers.start()
            broker = brokers.processes[0]
            await wait_for_status(broker, is_at_stage("full"))
            shown = await show_start(broker.admin_port)
            assert shown.exit_code == 0
            assert "contact" in shown.output
            assert "full *" in shown.output
            printed = await show_start(broker.admin_port, "--json")
            passed = [stage["stage"] for stage in json.loads(printed.output)["passed"]]
            assert passed == ["settings", "list", "contact", "ramp"]
        for process in brokers.processes:
            assert process.process is not None
            assert process.process.poll() is not None
        assert not os.path.exists(broker.folder)
