"""Reload at SIGHUP: which keys need a restart, and which ones the new file leaves out."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any

from .broker_config import Config

#: The values that are read only at the start, by their keys. ``bus`` and ``settings`` take effect
#: at SIGHUP, except for the tick, since the timer wheel is built with the tick of the start.
FIXED_UNTIL_RESTART: Mapping[str, Callable[[Config], object]] = {
    "limits.memory_mb": lambda config: config.memory_mb,
    "limits.sockets": lambda config: config.sockets,
    "listen": lambda config: (config.host, config.port),
    "name": lambda config: config.name,
    "operator": lambda config: config.admin_address,
    "seed": lambda config: config.seed,
    "settings.tick": lambda config: config.tick_ns,
}


def keys_needing_restart(running: Config, new_config: Config) -> list[str]:
    """Return the keys whose new values need a restart, sorted."""
    return sorted(
        key
        for key, value_of in FIXED_UNTIL_RESTART.items()
        if value_of(running) != value_of(new_config)
    )


def removed_keys(before: Any, after: Any, prefix: str = "") -> Iterator[str]:
    """Yield the dotted keys that one JSON value has and another lacks.

    A key that is absent has its default, at the start as at SIGHUP. In a serving broker it may have
    been removed by mistake, so these keys are logged.

    Objects are compared key by key; null counts as absent. For lists of objects, each object of
    ``after`` must have the keys that all objects of ``before`` have.
    """
    if isinstance(before, dict) and isinstance(after, dict):
        for key, value in before.items():
            if value is not None and after.get(key) is None:
                yield prefix + key
            else:
                yield from removed_keys(value, after.get(key), f"{prefix}{key}.")
    elif isinstance(before, list) and isinstance(after, list):
        common_keys = _common_keys(before)
        for entry in after:
            yield from removed_keys(common_keys, entry, prefix)


def _common_keys(entries: list[Any]) -> dict[str, Any]:
    """Return the keys that all objects of a list have, with the values of the first object."""
    if not entries or not all(isinstance(entry, dict) for entry in entries):
        return {}
    first = entries[0]
    return {key: first[key] for key in first if all(key in entry for entry in entries)}
