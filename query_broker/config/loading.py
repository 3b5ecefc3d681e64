"""Reads the configuration of a broker from its file and from the environment.

``PROXY_CONFIG`` names the file, a JSON object. ``PROXY_NAME``, ``PROXY_LISTEN`` and
``PROXY_OPERATOR`` take precedence over its keys. ``load`` reads the file; ``parse`` performs no
I/O.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from ..decisions import Settings
from ..discovery.event_codec import EndpointListEvent, InvalidEventError, parse_address, parse_event
from .broker_config import Config
from .defaults import (
    DEFAULT_CONNECT_TIMEOUT_NS,
    DEFAULT_CONNECTION_IDLE_NS,
    DEFAULT_CORES,
    DEFAULT_FOLDER,
    DEFAULT_MEMORY_MB,
    DEFAULT_NAME,
    DEFAULT_SEED,
    DEFAULT_SOCKETS,
    DEFAULT_STREAMS_PER_CONNECTION,
    MIN_MEMORY_MB,
    MIN_SOCKETS,
)
from .errors import ConfigError, InvalidValueError, UnreadableFileError
from .platform_settings import parse_settings
from .values import Section, ValueKind

#: Prefix of all environment variables that this program reads. It distinguishes an error of such a
#: variable from an error of the file.
ENVIRONMENT_PREFIX = "PROXY_"

#: Maximum number of digits of a file descriptor; no system has more descriptors.
MAX_DESCRIPTOR_DIGITS = 7

#: Characters of an invalid descriptor that an error quotes, so that the error stays one line.
MAX_QUOTED_CHARACTERS = 40


class SourcedText(NamedTuple):
    """A text from the file or from the environment.

    Attributes:
        text: The text.
        key: Key or environment variable that contains the text, for errors.
    """

    text: str
    key: str


class ConnectionLimits(NamedTuple):
    """Limits on connections to endpoints, from ``policy_limits``.

    Attributes:
        connect_timeout_ns: Time in which a connection has to be established.
        idle_timeout_ns: Time after which an unused connection is closed.
        max_streams: Requests that one connection carries at a time.
    """

    connect_timeout_ns: int
    idle_timeout_ns: int
    max_streams: int


def load(environ: Mapping[str, str]) -> Config:
    """Read the file that ``PROXY_CONFIG`` names.

    Raises:
        ConfigError: The file can't be read or is invalid; the error names the key, and the file
            if the file contains that key.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise InvalidValueError("PROXY_CONFIG", "is not set")
    raw = _read_json(path)
    try:
        return parse(raw, environ)
    except ConfigError as error:
        if not str(error).startswith(ENVIRONMENT_PREFIX):
            error.add_file(path)
        raise


def _read_json(path: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableFileError(path, f": {error}") from None
    except ValueError as error:  # also raised for a number with more digits than Python converts
        raise UnreadableFileError(path, f" holds no JSON ({error})") from None


def parse(raw: Any, environ: Mapping[str, str]) -> Config:
    """Check a configuration that was read from JSON, and fill in defaults.

    Raises:
        ConfigError: A key is missing or its value is invalid; the error names the key.
    """
    if not isinstance(raw, dict):
        raise InvalidValueError("PROXY_CONFIG", "holds no JSON object")
    return _read_config(Section(raw), environ)


def _read_config(root: Section, environ: Mapping[str, str]) -> Config:
    # If several keys are faulty, the order of reading decides which one the error names.
    limits = root.section("limits")
    known_section = root.section("known")
    platform = root.value("settings", ValueKind.OBJECT)
    settings = _platform_settings(platform)
    connections = _connection_limits(platform)
    listen = _text_or_override(environ, "PROXY_LISTEN", root, "listen")
    host, port = _address(listen)
    operator = _text_or_override(environ, "PROXY_OPERATOR", root, "operator", "")
    accept_fd = _file_descriptor(environ.get("PROXY_ACCEPT_FD", ""))
    seed = root.text("seed", DEFAULT_SEED)
    bus = SourcedText(root.text("bus", ""), "bus")
    events = _known_events(known_section)
    return Config(
        seed=_hexadecimal(seed, "seed"),
        name=_text_or_override(environ, "PROXY_NAME", root, "name", DEFAULT_NAME).text,
        host=host,
        port=port,
        sockets=_integer_at_least(MIN_SOCKETS, limits, "sockets", DEFAULT_SOCKETS),
        memory_mb=_integer_at_least(MIN_MEMORY_MB, limits, "memory_mb", DEFAULT_MEMORY_MB),
        cores=limits.number("cores", DEFAULT_CORES),
        discovery_address=_optional_address(bus),
        admin_address=_optional_address(operator),
        accept_fd=accept_fd,
        folder=environ.get("TMPDIR") or DEFAULT_FOLDER,
        known_offset=known_section.integer("offset", events[-1].offset if events else 0),
        known_events=events,
        connect_timeout_ns=connections.connect_timeout_ns,
        connection_idle_ns=connections.idle_timeout_ns,
        streams_per_connection=connections.max_streams,
        settings=settings,
        source={key: value for key, value in root.values.items() if key != "known"},
    )


def _platform_settings(platform: Mapping[str, Any]) -> Settings:
    try:
        return parse_settings(platform)
    except ConfigError as error:
        error.add_parent("settings")
        raise


def _connection_limits(platform: Mapping[str, Any]) -> ConnectionLimits:
    # All three keys are read before the first is compared with its minimum: this order decides
    # which of several faulty keys an error names.
    section = Section(platform, "settings").section("policy_limits")
    connect_timeout_ns = section.integer("connect_timeout", DEFAULT_CONNECT_TIMEOUT_NS)
    idle_timeout_ns = section.integer("conn_idle", DEFAULT_CONNECTION_IDLE_NS)
    max_streams = section.integer("streams_per_conn", DEFAULT_STREAMS_PER_CONNECTION)
    _check_at_least(1, connect_timeout_ns, section.key("connect_timeout"))
    _check_at_least(1, idle_timeout_ns, section.key("conn_idle"))
    _check_at_least(1, max_streams, section.key("streams_per_conn"))
    return ConnectionLimits(connect_timeout_ns, idle_timeout_ns, max_streams)


def _text_or_override(
    environ: Mapping[str, str],
    variable: str,
    section: Section,
    name: str,
    default: str | None = None,
) -> SourcedText:
    """Return the text of an environment variable, or of a key if the variable is unset or empty."""
    text = environ.get(variable)
    if text:
        return SourcedText(text, variable)
    return SourcedText(section.text(name, default), section.key(name))


def _address(source: SourcedText) -> tuple[str, int]:
    try:
        return parse_address(source.text)
    except InvalidEventError as error:
        raise InvalidValueError(source.key, error) from None


def _optional_address(source: SourcedText) -> tuple[str, int] | None:
    """Return an address, or None for an empty text."""
    return _address(source) if source.text else None


def _file_descriptor(text: str) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        quoted = repr(text[:MAX_QUOTED_CHARACTERS])
        raise InvalidValueError("PROXY_ACCEPT_FD", f"{quoted} is no descriptor's number")
    return int(text)


def _known_events(known_section: Section) -> tuple[EndpointListEvent, ...]:
    try:
        return tuple(parse_event(event) for event in known_section.entries("batch", []))
    except InvalidEventError as error:
        raise InvalidValueError(known_section.key("batch"), error) from None


def _hexadecimal(text: str, key: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidValueError(key, f"{text!r} is no hexadecimal number") from None


def _integer_at_least(minimum: int, section: Section, name: str, default: int) -> int:
    number = section.integer(name, default)
    _check_at_least(minimum, number, section.key(name))
    return number


def _check_at_least(minimum: int, number: int, key: str) -> None:
    if number < minimum:
        raise InvalidValueError(key, f"must be at least {minimum}")
