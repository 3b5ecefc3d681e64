"""The command line."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import TYPE_CHECKING

import click

from .. import __version__
from ..config import Config, ConfigError, load
from ..server.signals import record_early_sighups
from .lazy_group import LazyGroup

if TYPE_CHECKING:
    from ..operator_config.settings import OperatorConfig
    from ..server.node import Node

# Pause before the imports of a process that starts while another process of this broker serves.
# Without the pause the imports would take the only core from the event loop of the other process.
IMPORT_PAUSE_S = 0.15
EXIT_INVALID_CONFIGURATION = 2


@contextmanager
def _exit_on_configuration_error() -> Iterator[None]:
    """On an invalid configuration, print one line that names the key and exit with code 2."""
    try:
        yield
    except ConfigError as error:
        print(f"larchhall: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_CONFIGURATION)


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A broker that shares a pool of data engines fairly. Without a command it serves."""
    if context.invoked_subcommand is None:
        # Click reads environment variables only for the options of an explicitly named command.
        context.invoke(serve, operator_file=os.environ.get("PROXY_OPERATOR_FILE", ""))


@main.command()
@click.option(
    "--operator-file",
    envvar="PROXY_OPERATOR_FILE",
    default="",
    metavar="FILE",
    help="The operators' own file (Starlark); without it nothing that it sets is there.",
)
def serve(operator_file: str) -> None:
    """Serve clients until SIGTERM."""
    record_early_sighups()
    with _exit_on_configuration_error():
        config = load(os.environ)
        if config.accept_fd is not None:
            time.sleep(IMPORT_PAUSE_S)
        from ..server.node import Node
        from ..server.node import serve as run

        create_node: Callable[[], Node] = partial(Node, config)
        if operator_file:
            create_node = _node_with_operator_file(config, operator_file)
        run(create_node)


def _read_operator_file(path: str) -> OperatorConfig:
    """Evaluate the operators' file; its modules are imported only if there is such a file."""
    from ..operator_config.script import OperatorFileError, evaluate

    try:
        return evaluate(path)
    except OperatorFileError as error:
        raise ConfigError(str(error)) from None


def _node_with_operator_file(config: Config, path: str) -> Callable[[], Node]:
    operator_config = _read_operator_file(path)
    if operator_config.cell_map is None:
        from ..operator_config.service import ConfiguredNode

        return partial(ConfiguredNode, config, operator_config, path)
    from ..cells.node import CellNode

    return partial(CellNode, config, operator_config, path)


@main.command("check-config")
@click.option(
    "--operator-file",
    envvar="PROXY_OPERATOR_FILE",
    default="",
    metavar="FILE",
    help="The operators' own file, to be checked as well.",
)
def check_config(operator_file: str) -> None:
    """Read the configuration, say what it holds, and do nothing."""
    with _exit_on_configuration_error():
        config = load(os.environ)
        operator_config = _read_operator_file(operator_file) if operator_file else None
    click.echo(
        f"{config.name}: ok, {len(config.settings.classes)} classes, "
        f"listening on {config.host}:{config.port}"
        + (f", {operator_file} ok" if operator_file else "")
    )
    if operator_config is not None:
        for line in _describe_bounds(config, operator_config):
            click.echo(line)


def _describe_bounds(config: Config, operator_config: OperatorConfig) -> Iterator[str]:
    """Yield lines on the bounds that the operators' file sets for this installation."""
    fleet_size = config.settings.fleet_size
    if operator_config.startup is not None:
        from ..startup.bounds import describe_bounds as describe_startup

        yield from describe_startup(
            operator_config.startup, config.settings.broker_index, fleet_size
        )
    if operator_config.membership is not None:
        from ..membership.timing import describe_bounds as describe_membership

        yield from describe_membership(operator_config.membership, fleet_size)
    if operator_config.quotas is not None:
        from ..quotas.settings import describe_bounds as describe_quotas

        yield from describe_quotas(operator_config.quotas, fleet_size)
    if operator_config.outlier_consensus is not None:
        from ..outlier_consensus.settings import describe_bounds as describe_consensus

        yield from describe_consensus(operator_config.outlier_consensus, fleet_size)


@main.command()
@click.option(
    "--seconds",
    default=4.0,
    show_default=True,
    type=click.FloatRange(1.0, 60.0),
    help="How long the load is played.",
)
def demo(seconds: float) -> None:
    """Stand-in engines, a broker with two cells and some load, all on loopback; ends by itself."""
    from ..emulator.demo import run_demo

    sys.exit(run_demo(seconds, click.echo))


@main.group(cls=LazyGroup, module=".start", group="start")
def start() -> None:
    """Show how far a broker has come in its start."""


@main.group(cls=LazyGroup, module=".limits", group="limits")
def limits() -> None:
    """Show the limits that brokers share, lend them, recall them."""


@main.group(cls=LazyGroup, module=".limits", group="verdicts")
def verdicts() -> None:
    """Show what brokers know together of engines; say a word for all of them."""


@main.group(cls=LazyGroup, module=".members", group="members")
def members() -> None:
    """Show which brokers are there, leave, look at the keys."""


@main.group(cls=LazyGroup, module=".cells", group="cells")
def cells() -> None:
    """Show the cells of a running broker, move tenants between them, plan moves."""


@main.command()
def version() -> None:
    """Print the versions of larchhall and of what it runs on."""
    # Imported here, since this import takes a sixth of the processor time of a start.
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed

    click.echo(f"larchhall {__version__}")
    for package in ("uvloop", "httptools", "click"):
        try:
            click.echo(f"{package} {installed(package)}")
        except PackageNotFoundError:
            click.echo(f"{package} is not installed")
