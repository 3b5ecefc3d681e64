"""Parses a request of the interface: its URL, its headers and its statement.

Performs no I/O. The statement is in the URL parameter ``query``, in the body, or in both: then the
body follows the parameter after a line feed and continues the statement or is the data of an
INSERT. A URL parameter that the interface does not define is a setting, which is passed on to the
engine.
"""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import parse_qsl

from .errors import AUTHENTICATION_FAILED, BAD_ARGUMENTS, SYNTAX_ERROR, QueryError

NS_PER_S = 1_000_000_000
MAX_URL_BYTES = 65_536
MAX_PARAMETERS = 500
SETTING_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_.]{0,127}")
PARAMETER_PREFIX = "param_"
QUERY_ID = re.compile(r"[\x21-\x7e]{1,200}")
#: The URL parameters that the interface defines; all others are settings.
INTERFACE_PARAMETERS = frozenset(
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
SECRET_PARAMETERS = re.compile(r"(?i)([?&](?:password|user)=)[^&#]*")
MAX_SESSION_TIMEOUT_S = 3_600
MAX_BUFFER_BYTES = 1 << 40
MAX_COUNT_DIGITS = 15
#: The most characters of an invalid name that an error quotes.
QUOTED_NAME_LENGTH = 60
DEFAULT_USER = "default"


class Credentials(NamedTuple):
    """The user and password of a request."""

    user: str
    password: str


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The values that the URL and the headers of a request state.

    Attributes:
        path: The path of the URL.
        query: The statement, or its beginning, from the URL.
        query_id: The id that the client gave the request; empty for none.
        user: The user.
        password: The password of the user.
        database: The default database of table names without one.
        default_format: The format of the result if the statement names none.
        quota_key: The key by which the user's quota is counted.
        session_id: The id of the session; empty for none.
        session_timeout_ns: How long the session lives without a request; 0 if not stated.
        session_must_exist: Whether the session must exist already.
        wait_end_of_query: Whether the client asks for the complete result to be buffered first.
        buffer_bytes: The size of the result buffer that the client asks for.
        progress_headers: Whether the client asks for progress in headers.
        compress_answer: Whether the client accepts a compressed response.
        settings: The settings for the engine: all parameters that the interface does not define.
        statement_parameters: The values for ``{name:Type}`` in the statement.
    """

    path: str
    query: str
    query_id: str
    user: str
    password: str
    database: str
    default_format: str
    quota_key: str
    session_id: str
    session_timeout_ns: int
    session_must_exist: bool
    wait_end_of_query: bool
    buffer_bytes: int
    progress_headers: bool
    compress_answer: bool
    settings: Mapping[str, str]
    statement_parameters: Mapping[str, str]


class ParsedUrl(NamedTuple):
    """The path of a URL and its parameters by name."""

    path: str
    parameters: dict[str, str]


def _parse_flag(parameters: Mapping[str, str], name: str) -> bool:
    value = parameters.get(name, "0")
    if value not in ("0", "1", "true", "false", ""):
        raise QueryError(BAD_ARGUMENTS, f"{name} is neither 0 nor 1")
    return value in ("1", "true")


def _parse_count(parameters: Mapping[str, str], name: str, max_count: int) -> int:
    value = parameters.get(name) or "0"
    is_number = value.isascii() and value.isdecimal() and len(value) <= MAX_COUNT_DIGITS
    if not is_number or int(value) > max_count:
        raise QueryError(BAD_ARGUMENTS, f"{name} is not a whole number from 0 to {max_count}")
    return int(value)


def read_credentials(headers: Mapping[str, str], parameters: Mapping[str, str]) -> Credentials:
    """Return user and password: from the interface's headers, basic authentication, or the URL.

    Raises:
        QueryError: A header cannot be parsed, or credentials are given in several of these ways.
            They could name different users, and it would be unclear whose rules apply.
    """
    candidates: list[Credentials] = []
    if "x-clickhouse-user" in headers or "x-clickhouse-key" in headers:
        user = headers.get("x-clickhouse-user", DEFAULT_USER)
        candidates.append(Credentials(user, headers.get("x-clickhouse-key", "")))
    authorization = headers.get("authorization", "")
    if authorization:
        candidates.append(_read_basic_credentials(authorization))
    if "user" in parameters or "password" in parameters:
        user = parameters.get("user", DEFAULT_USER)
        candidates.append(Credentials(user, parameters.get("password", "")))
    if len(candidates) > 1:
        raise QueryError(AUTHENTICATION_FAILED, "credentials are given in more than one way")
    return candidates[0] if candidates else Credentials(DEFAULT_USER, "")


def _read_basic_credentials(header: str) -> Credentials:
    """Return user and password from an Authorization header with the Basic scheme."""
    scheme, _, encoded = header.partition(" ")
    try:
        text = base64.b64decode(encoded.strip(), validate=True).decode()
    except (ValueError, binascii.Error, UnicodeDecodeError):
        text = ""
    user, colon, password = text.partition(":")
    if scheme.lower() != "basic" or not colon:
        raise QueryError(AUTHENTICATION_FAILED, "the Authorization header cannot be read")
    return Credentials(user, password)


def _read_url(url: bytes) -> ParsedUrl:
    if len(url) > MAX_URL_BYTES:
        raise QueryError(BAD_ARGUMENTS, f"the URL is longer than {MAX_URL_BYTES} bytes")
    path, _, raw_parameters = url.partition(b"?")
    try:
        pairs = parse_qsl(
            raw_parameters.decode("ascii"),
            keep_blank_values=True,
            errors="strict",
            max_num_fields=MAX_PARAMETERS,
        )
        text_path = path.decode("ascii")
    except (ValueError, UnicodeDecodeError):
        raise QueryError(BAD_ARGUMENTS, "the URL cannot be read") from None
    parameters = dict(pairs)
    if len(parameters) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise QueryError(BAD_ARGUMENTS, f"{repeated[:QUOTED_NAME_LENGTH]!r} is given twice")
    return ParsedUrl(text_path, parameters)


def _read_settings(parameters: Mapping[str, str]) -> dict[str, str]:
    """Return the parameters that are settings."""
    settings: dict[str, str] = {}
    for name, value in parameters.items():
        if name in INTERFACE_PARAMETERS or name.startswith(PARAMETER_PREFIX):
            continue
        if SETTING_NAME.fullmatch(name) is None:
            quoted = repr(name[:QUOTED_NAME_LENGTH])
            raise QueryError(BAD_ARGUMENTS, f"{quoted} is not a valid setting name")
        settings[name] = value
    return settings


def _read_statement_parameters(parameters: Mapping[str, str]) -> dict[str, str]:
    return {
        name.removeprefix(PARAMETER_PREFIX): value
        for name, value in parameters.items()
        if name.startswith(PARAMETER_PREFIX)
    }


def read_head(url: bytes, headers: Iterable[tuple[str, str]]) -> RequestHead:
    """Parse the URL and the headers of a request.

    Raises:
        QueryError: The URL or a header is invalid, or both contradict each other. The text contains
            no secret.
    """
    path, parameters = _read_url(url)
    lower_headers = {name.lower(): value for name, value in headers}
    user, password = read_credentials(lower_headers, parameters)
    query_id = parameters.get("query_id", "") or lower_headers.get("x-clickhouse-query-id", "")
    if query_id and not QUERY_ID.fullmatch(query_id):
        raise QueryError(
            BAD_ARGUMENTS, "query_id must be 1 to 200 printable ASCII characters without spaces"
        )
    settings = _read_settings(parameters)
    session_timeout_s = _parse_count(parameters, "session_timeout", MAX_SESSION_TIMEOUT_S)
    return RequestHead(
        path=path,
        query=parameters.get("query", ""),
        query_id=query_id,
        user=user,
        password=password,
        database=parameters.get("database") or lower_headers.get("x-clickhouse-database", ""),
        default_format=(
            parameters.get("default_format") or lower_headers.get("x-clickhouse-format", "")
        ),
        quota_key=parameters.get("quota_key") or lower_headers.get("x-clickhouse-quota", ""),
        session_id=parameters.get("session_id", ""),
        session_timeout_ns=session_timeout_s * NS_PER_S,
        session_must_exist=_parse_flag(parameters, "session_check"),
        wait_end_of_query=_parse_flag(parameters, "wait_end_of_query"),
        buffer_bytes=_parse_count(parameters, "buffer_size", MAX_BUFFER_BYTES),
        progress_headers=_parse_flag(parameters, "send_progress_in_http_headers"),
        compress_answer=_parse_flag(parameters, "enable_http_compression"),
        settings=settings,
        statement_parameters=_read_statement_parameters(parameters),
    )


def statement_text(head: RequestHead, body: bytes, method: str) -> bytes:
    """Return the text of the statement from the URL and the part of the body received so far.

    Raises:
        QueryError: There is no statement.
    """
    if method == "GET" and not head.query:
        raise QueryError(SYNTAX_ERROR, "a GET request needs a statement in the URL")
    if not head.query:
        if not body.strip():
            raise QueryError(SYNTAX_ERROR, "the statement is empty")
        return body
    text = head.query.encode()
    if body:
        text += b"\n" + body
    return text


def redacted_url(url: str) -> str:
    """Return a URL for the log, with user and password replaced."""
    return SECRET_PARAMETERS.sub(r"\1***", url)
