"""A request of the interface: its URL, its headers, and how much of its body is the statement.

Performs no I/O.
The statement stands in the URL's ``query``, in the body, or in both (then the body follows it after
a line feed, or is an INSERT's data). What is no word of the interface is a setting, passed on.
"""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl

from .errors import AUTHENTICATION_FAILED, BAD_ARGUMENTS, SYNTAX_ERROR, QueryError

NS_PER_S = 1_000_000_000
MOST_URL = 65_536  # bytes
MOST_PARAMETERS = 500
NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_.]{0,127}")
PARAMETER_PREFIX = "param_"
ID = re.compile(r"[\x21-\x7e]{1,200}")
WORDS = frozenset(
    {
        "query",
        "query_id",
        "session_id",
        "session_timeout",
        "session_check",
        "user",
        "password",
        "database",
        "default_format",
        "quota_key",
        "wait_end_of_query",
        "buffer_size",
        "compress",
        "decompress",
        "enable_http_compression",
        "send_progress_in_http_headers",
        "stacktrace",
        "http_write_exception_in_output_format",
        "role",
        "close_session",
    }
)
HIDDEN = frozenset({"password", "authorization", "x-clickhouse-key"})


@dataclass(frozen=True, slots=True)
class Parameters:
    """What the head of a request says.

    ``params`` are the values for ``{name:Type}`` in the statement.
    """

    path: str
    query: str
    query_id: str
    user: str
    password: str
    database: str
    format: str
    quota: str
    session_id: str
    session_timeout: int  # ns; 0: not said
    session_check: bool
    wait_end_of_query: bool
    buffer_size: int
    progress_headers: bool
    compressed_answer: bool
    settings: Mapping[str, str]
    params: Mapping[str, str]


def _flag(found: Mapping[str, str], name: str) -> bool:
    value = found.get(name, "0")
    if value not in ("0", "1", "true", "false", ""):
        raise QueryError(BAD_ARGUMENTS, f"{name} is neither 0 nor 1")
    return value in ("1", "true")


def _count(found: Mapping[str, str], name: str, most: int) -> int:
    value = found.get(name) or "0"
    if not value.isascii() or not value.isdecimal() or len(value) > 15 or int(value) > most:
        raise QueryError(BAD_ARGUMENTS, f"{name} is no whole number from 0 to {most}")
    return int(value)


def credentials(headers: Mapping[str, str], found: Mapping[str, str]) -> tuple[str, str]:
    """Return user and password: from the interface's headers, basic authentication, or the URL.

    Two of these at once may name two users, and whose rules hold would be a guess: that raises
    `Fault`, as does a header that cannot be read.
    """
    ways: list[tuple[str, str]] = []
    if "x-clickhouse-user" in headers or "x-clickhouse-key" in headers:
        ways.append(
            (headers.get("x-clickhouse-user", "default"), headers.get("x-clickhouse-key", ""))
        )
    if basic := headers.get("authorization", ""):
        ways.append(_basic_credentials(basic))
    if "user" in found or "password" in found:
        ways.append((found.get("user", "default"), found.get("password", "")))
    if len(ways) > 1:
        raise QueryError(AUTHENTICATION_FAILED, "credentials come in more than one way")
    return ways[0] if ways else ("default", "")


def _basic_credentials(header: str) -> tuple[str, str]:
    """Return user and password of an Authorization header of the scheme Basic."""
    scheme, _, encoded = header.partition(" ")
    try:
        text = base64.b64decode(encoded.strip(), validate=True).decode()
    except (ValueError, binascii.Error, UnicodeDecodeError):
        text = ""
    user, colon, password = text.partition(":")
    if scheme.lower() != "basic" or not colon:
        raise QueryError(AUTHENTICATION_FAILED, "the Authorization header cannot be read")
    return user, password


def _read_url(url: bytes) -> tuple[str, dict[str, str]]:
    """Return the path and the parameters of a URL."""
    if len(url) > MOST_URL:
        raise QueryError(BAD_ARGUMENTS, f"the URL is longer than {MOST_URL} bytes")
    path, _, raw = url.partition(b"?")
    try:
        pairs = parse_qsl(
            raw.decode("ascii"),
            keep_blank_values=True,
            errors="strict",
            max_num_fields=MOST_PARAMETERS,
        )
        text_path = path.decode("ascii")
    except (ValueError, UnicodeDecodeError):
        raise QueryError(BAD_ARGUMENTS, "the URL cannot be read") from None
    found = dict(pairs)
    if len(found) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise QueryError(BAD_ARGUMENTS, f"{twice[:60]!r} comes twice")
    return text_path, found


def _settings(found: Mapping[str, str]) -> tuple[dict[str, str], dict[str, str]]:
    """Return the settings and the statement's parameters among what a URL names."""
    settings: dict[str, str] = {}
    params: dict[str, str] = {}
    for name, value in found.items():
        if name in WORDS:
            continue
        if name.startswith(PARAMETER_PREFIX):
            params[name.removeprefix(PARAMETER_PREFIX)] = value
        elif NAME.fullmatch(name) is None:
            raise QueryError(BAD_ARGUMENTS, f"{name[:60]!r} is no name of a setting")
        else:
            settings[name] = value
    return settings, params


def read(url: bytes, headers: Iterable[tuple[str, str]]) -> Parameters:
    """Return the head of a request; `Fault` says what is wrong with it, and tells no secret."""
    path, found = _read_url(url)
    head = {name.lower(): value for name, value in headers}
    user, password = credentials(head, found)
    query_id = found.get("query_id", "") or head.get("x-clickhouse-query-id", "")
    if query_id and not ID.fullmatch(query_id):
        raise QueryError(BAD_ARGUMENTS, "query_id has more than 200, or odd, characters")
    settings, params = _settings(found)
    return Parameters(
        path,
        found.get("query", ""),
        query_id,
        user,
        password,
        found.get("database") or head.get("x-clickhouse-database", ""),
        found.get("default_format") or head.get("x-clickhouse-format", ""),
        found.get("quota_key") or head.get("x-clickhouse-quota", ""),
        found.get("session_id", ""),
        _count(found, "session_timeout", 3_600) * NS_PER_S,
        _flag(found, "session_check"),
        _flag(found, "wait_end_of_query"),
        _count(found, "buffer_size", 1 << 40),
        _flag(found, "send_progress_in_http_headers"),
        _flag(found, "enable_http_compression"),
        settings,
        params,
    )


def statement(parameters: Parameters, body: bytes, method: str) -> bytes:
    """Return the statement's text, of the URL and the body together, as far as it is here."""
    if method == "GET" and not parameters.query:
        raise QueryError(SYNTAX_ERROR, "a GET needs its statement in the URL")
    if not parameters.query:
        if not body.strip():
            raise QueryError(SYNTAX_ERROR, "the statement is empty")
        return body
    return parameters.query.encode() + (b"\n" + body if body else b"")


def shown(url: str) -> str:
    """Return a URL for the log, without its secrets."""
    return re.sub(r"(?i)([?&](?:password|user)=)[^&#]*", r"\1***", url)
