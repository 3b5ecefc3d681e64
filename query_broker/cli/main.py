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
from ..config.reading import Config, ConfigError, load
from ..server.signals import hold_hangup

if TYPE_CHECKING:
    from ..operator_config.script import OperatorConfig
    from ..server.node import Node

# Danger: a start at full speed takes the core, and what it may use of it, from the process beside
# it, whose loop then stands still: half way through what has to be loaded it rests for so many
# seconds.
BREATH = 0.15


@contextmanager
def _telling() -> Iterator[None]:
    """Bad configuration is one line that names the key, and exit code 2."""
    try:
        yield
    except ConfigError as error:
        print(f"larchhall: {error}", file=sys.stderr)
        sys.exit(2)


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A broker that shares a pool of data engines fairly. Without a command it serves."""
    if context.invoked_subcommand is None:
        # Danger: a command that is not on the line does not have its options read from the
        # environment.
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
    hold_hangup()
    with _telling():
        config = load(os.environ)
        if config.accept_fd is not None:
            time.sleep(BREATH)
        from ..server.node import Node
        from ..server.node import serve as run

        make: Callable[[], Node] = partial(Node, config)
        if operator_file:
            make = _with_operator_file(config, operator_file)
        run(make)


def _evaluated(path: str) -> OperatorConfig:
    """Loaded only here: without the file, what it sets costs nothing."""
    from ..operator_config.script import OperatorFileError, evaluate

    try:
        return evaluate(path)
    except OperatorFileError as error:
        raise ConfigError(str(error)) from None


def _with_operator_file(config: Config, path: str) -> Callable[[], Node]:
    said = _evaluated(path)
    if said.map is None:
        from ..operator_config.service import ConfiguredNode

        return partial(ConfiguredNode, config, said, path)
    from ..cells.node import CellNode

    return partial(CellNode, config, said, path)


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
    with _telling():
        config = load(os.environ)
        said = _evaluated(operator_file) if operator_file else None
    click.echo(
        f"{config.name}: ok, {len(config.settings.classes)} classes, "
        f"listening on {config.host}:{config.port}"
        + (f", {operator_file} ok" if operator_file else "")
    )
    if said is not None and said.start is not None:
        from ..startup.bounds import lines

        for line in lines(said.start, config.settings.broker_index, config.settings.fleet_size):
            click.echo(line)
    if said is not None and said.members is not None:
        from ..membership.settings import lines as member_lines

        for line in member_lines(said.members, config.settings.fleet_size):
            click.echo(line)
    if said is not None and said.shares is not None:
        from ..quotas.settings import describe as share_lines

        for line in share_lines(said.shares, config.settings.fleet_size):
            click.echo(line)
    if said is not None and said.verdicts is not None:
        from ..outlier_consensus.settings import describe as verdict_lines

        for line in verdict_lines(said.verdicts, config.settings.fleet_size):
            click.echo(line)


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
    from ..emulator.demo import play

    sys.exit(play(seconds, click.echo))


class _Lazy(click.Group):
    """Danger: loaded with the daemon, these commands would cost each of its starts."""

    def _load(self) -> click.Group:
        from .cells import cells

        return cells

    def list_commands(self, ctx: click.Context) -> list[str]:
        return self._load().list_commands(ctx)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        return self._load().get_command(ctx, name)


class _LazyStart(_Lazy):
    def _load(self) -> click.Group:
        from .start import start

        return start


@main.group(cls=_LazyStart)
def start() -> None:
    """Show how far a broker has come in its start."""


class _LazyMembers(_Lazy):
    def _load(self) -> click.Group:
        from .members import members

        return members


class _LazyLimits(_Lazy):
    def _load(self) -> click.Group:
        from .limits import limits

        return limits


@main.group(cls=_LazyLimits)
def limits() -> None:
    """Show the limits that brokers share, lend them, recall them."""


class _LazyVerdicts(_Lazy):
    def _load(self) -> click.Group:
        from .limits import verdicts

        return verdicts


@main.group(cls=_LazyVerdicts)
def verdicts() -> None:
    """Show what brokers know together of engines; say a word for all of them."""


@main.group(cls=_LazyMembers)
def members() -> None:
    """Show which brokers are there, leave, look at the keys."""


@main.group(cls=_Lazy)
def cells() -> None:
    """Show the cells of a running broker, move tenants between them, plan moves."""


@main.command()
def version() -> None:
    """Print the versions of larchhall and of what it runs on."""
    # Danger: imported with the rest it takes a sixth of a start's processor time, from the process
    # beside it.
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed

    click.echo(f"larchhall {__version__}")
    for package in ("uvloop", "httptools", "click"):
        try:
            click.echo(f"{package} {installed(package)}")
        except PackageNotFoundError:
            click.echo(f"{package} is not installed")
