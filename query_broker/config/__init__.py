"""The configuration of a broker: schema, reading and checking, defaults, reload.

This module is the public interface of the package. ``load`` reads the file and the environment, at
the start and at a reload. ``parse`` checks the content, and ``parse_settings`` reads only the
platform's settings. Every error is a ``ConfigError``, whose text is one line that names the faulty
key.
"""

from .broker_config import Config
from .defaults import DEFAULT_SOCKETS
from .errors import ConfigError
from .loading import load, parse
from .platform_settings import parse_settings
from .reloading import keys_needing_restart, removed_keys
from .schema import IGNORED_SETTINGS_KEYS, KNOWN_REPORT_FIELDS, SETTINGS_KEYS

__all__ = [
    "DEFAULT_SOCKETS",
    "IGNORED_SETTINGS_KEYS",
    "SETTINGS_KEYS",
    "KNOWN_REPORT_FIELDS",
    "Config",
    "ConfigError",
    "load",
    "parse",
    "parse_settings",
    "removed_keys",
    "keys_needing_restart",
]
