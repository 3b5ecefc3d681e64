"""The admin API and the command line of cells."""

from __future__ import annotations

import asyncio
import json

import pytest
from click.testing import CliRunner

from query_broker.cli.main import main

from ..server.admin_calls import admin_call
from ..support.sockets import (
    Engine,
    make_config,
    on_uvloop,
    running,
)
from .cell_brokers import (
    broker_with_two_cells,
    cell_node,
    two_cells,
)

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_the_command_line_shows_proposes_and_aborts_migrations() -> None:
    async with broker_with_two_cells(two_cells(), Engine(), Engine()) as broker:
        address = ["--address", f"127.0.0.1:{broker.operator_port}"]

        async def cells(*args: str) -> str:
            result = await asyncio.to_thread(
                CliRunner().invoke, main, ["cells", args[0], *address, *args[1:]]
            )
            return f"{result.exit_code} {result.output}"

        shown = await cells("show")
        assert "a *" in shown
        assert "s-2" in shown
        assert "acme" in shown
        assert json.loads((await cells("show", "--json"))[2:])["epoch"] == 1
        broker.node.dispatcher.set_endpoint_disabled(
            "s-2", True
        )  # so that the migration stays proposed
        assert await cells("move", "acme", "b") == "0 acme from a to b: proposed\n"
        assert "is on the move to 'b'" in await cells("move", "acme", "b")
        assert "proposed" in await cells("show")
        assert await cells("abort", "acme") == "0 acme from a to b: taken back (by the operators)\n"
        assert (await cells("abort", "acme")).startswith("1 larchhall: ")
        planned = await cells("plan", "--json")
        assert planned.startswith("0 ")
        assert json.loads(planned[2:])["moves"] == []


@pytest.mark.parametrize(
    ("request_line", "status"),
    [
        pytest.param(b"POST /cells", 405, id="post to the list"),
        pytest.param(b"GET /cells/move/acme/b", 405, id="get of a migration call"),
        pytest.param(b"POST /cells/x", 404, id="unknown action"),
        pytest.param(b"POST /cells/move/acme/c", 409, id="unknown cell"),
        pytest.param(b"POST /cells/move/acme/a", 409, id="its own cell"),
        pytest.param(b"POST /cells/abort/acme", 409, id="no migration to abort"),
        pytest.param(b"POST /cells/move/%ff/b", 400, id="tenant that is not UTF-8"),
        pytest.param(b"POST /cells/move//b", 409, id="tenant without a name"),
    ],
)
@on_uvloop
async def test_an_invalid_admin_call_on_cells_gets_a_one_line_error(
    request_line: bytes, status: int
) -> None:
    async with broker_with_two_cells(two_cells(), Engine(), Engine()) as broker:
        got, headers, body = await admin_call(broker, request_line + b" HTTP/1.1\r\n\r\n")
        assert got == status
        assert "error" in json.loads(body)
        assert body.count("\n") == 1
        assert ("allow" in headers) == (status == 405)
        assert not cell_node(broker).celled.migrations.records


@on_uvloop
async def test_a_broker_without_cells_answers_cell_calls_with_not_found() -> None:
    async with running(make_config(operator=True)) as broker:
        assert (await admin_call(broker, b"GET /cells HTTP/1.1\r\n\r\n"))[0] == 404
