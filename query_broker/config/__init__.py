"""The configuration of a broker: schema, reading and checking, defaults, reload.

This is the part's public interface. ``load`` reads the file and the environment, ``parse`` checks
what was read, ``reload`` does both at SIGHUP; ``parse_settings`` reads the platform's settings
alone. All errors are of the class ``ConfigError``, one line that names the faulty key.
"""

from .broker_config import Config
from .defaults import DEFAULT_SOCKETS
from .errors import ConfigError
from .loading import load, parse
from .platform_settings import parse_settings
from .reloading import reload, waiting_for_restart
from .schema import NOT_NEEDED, READ, REPORTED

__all__ = [
    "DEFAULT_SOCKETS",
    "NOT_NEEDED",
    "READ",
    "REPORTED",
    "Config",
    "ConfigError",
    "load",
    "parse",
    "parse_settings",
    "reload",
    "waiting_for_restart",
]
