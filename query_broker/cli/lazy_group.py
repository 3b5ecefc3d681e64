"""A group of sub-commands whose module is imported only when it is used."""

from __future__ import annotations

from importlib import import_module
from typing import Any

import click

from ..overriding import override


class LazyGroup(click.Group):
    """A click group that imports the actual group on first use.

    Otherwise each start of the daemon would import the modules of all sub-commands.
    """

    def __init__(self, *args: Any, module: str, group: str, **options: Any) -> None:
        """Stand in for the group named ``group`` in a module of this package."""
        super().__init__(*args, **options)
        self.module = module
        self.group_name = group

    def _load(self) -> click.Group:
        loaded: click.Group = getattr(import_module(self.module, __package__), self.group_name)
        return loaded

    @override
    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the sub-commands."""
        return self._load().list_commands(ctx)

    @override
    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return the sub-command of a name, or None if there is none."""
        return self._load().get_command(ctx, name)
