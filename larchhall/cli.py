"""The command line."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

import click

from . import __version__
from .config import ConfigError, load

# Danger: a start at full speed takes the core, and what it may use of it, from the process beside it, whose
# loop then stands still: half way through what has to be loaded it rests for so many seconds.
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
        context.invoke(serve)


@main.command()
def serve() -> None:
    """Serve clients until SIGTERM."""
    with _telling():
        config = load(os.environ)
        if config.accept_fd is not None:
            time.sleep(BREATH)
        from .lifecycle.boot import serve as run

        run(config)


@main.command("check-config")
def check_config() -> None:
    """Read the configuration, say what it holds, and do nothing."""
    with _telling():
        config = load(os.environ)
    click.echo(f"{config.name}: ok, {len(config.settings.classes)} classes, "
               f"listening on {config.host}:{config.port}")


@main.command()
def version() -> None:
    """Print the versions of larchhall and of what it runs on."""
    # Danger: imported with the rest it takes a sixth of a start's processor time, from the process beside it.
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed

    click.echo(f"larchhall {__version__}")
    for package in ("uvloop", "httptools", "click"):
        try:
            click.echo(f"{package} {installed(package)}")
        except PackageNotFoundError:
            click.echo(f"{package} is not installed")
