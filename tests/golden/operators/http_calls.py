"""Calls to the operators' address as they are sent, with the complete answers."""

from __future__ import annotations

import pytest

from .expected_metrics import metrics_of_an_idle_broker

NO_SUCH_CALL = (
    b"HTTP/1.1 404 Not Found\r\n"
    b"Content-Type: text/plain; charset=utf-8\r\n"
    b"Content-Length: 13\r\n"
    b"Connection: close\r\n"
    b"\r\n"
    b"no such call\n"
)
ONLY_GET = (
    b"HTTP/1.1 405 Method Not Allowed\r\n"
    b"Content-Type: text/plain; charset=utf-8\r\n"
    b"Content-Length: 19\r\n"
    b"Connection: close\r\n"
    b"Allow: GET\r\n"
    b"\r\n"
    b"this call is a GET\n"
)
ONLY_POST = (
    b"HTTP/1.1 405 Method Not Allowed\r\n"
    b"Content-Type: text/plain; charset=utf-8\r\n"
    b"Content-Length: 20\r\n"
    b"Connection: close\r\n"
    b"Allow: POST\r\n"
    b"\r\n"
    b"this call is a POST\n"
)
DONE = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/plain; charset=utf-8\r\n"
    b"Content-Length: 5\r\n"
    b"Connection: close\r\n"
    b"\r\n"
    b"done\n"
)
NO_SUCH_ENGINE = (
    b"HTTP/1.1 404 Not Found\r\n"
    b"Content-Type: text/plain; charset=utf-8\r\n"
    b"Content-Length: 27\r\n"
    b"Connection: close\r\n"
    b"\r\n"
    b"no data engine has this id\n"
)
METRICS_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"
    b"Content-Length: 1361\r\n"
    b"Connection: close\r\n"
    b"\r\n"
)
METRICS = METRICS_HEAD + metrics_of_an_idle_broker(targets=1).encode()

# To a broker whose endpoint list holds the engine `s-1`.
CALLS = [
    pytest.param(
        b"GET /ready HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 200 OK\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 6\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"ready\n"
        ),
        id="ready",
    ),
    pytest.param(b"GET / HTTP/1.1\r\n\r\n", NO_SUCH_CALL, id="unknown path"),
    pytest.param(
        b"POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", ONLY_GET, id="ready by POST"
    ),
    pytest.param(
        b"POST /metrics HTTP/1.1\r\nContent-Length: 0\r\n\r\n", ONLY_GET, id="metrics by POST"
    ),
    pytest.param(b"GET /metrics HTTP/1.1\r\n\r\n", METRICS, id="metrics"),
    pytest.param(b"GET /data-engines/disable/s-1 HTTP/1.1\r\n\r\n", ONLY_POST, id="disable by GET"),
    pytest.param(b"GET /data-engines/enable/s-1 HTTP/1.1\r\n\r\n", ONLY_POST, id="enable by GET"),
    pytest.param(b"POST /data-engines/disable/s-1 HTTP/1.1\r\n\r\n", DONE, id="disable"),
    pytest.param(b"POST /data-engines/enable/s-1 HTTP/1.1\r\n\r\n", DONE, id="enable"),
    pytest.param(
        b"POST /data-engines/disable/nobody HTTP/1.1\r\n\r\n",
        NO_SUCH_ENGINE,
        id="disable an unknown engine",
    ),
    pytest.param(
        b"POST /data-engines/disable/%ff HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 400 Bad Request\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 18\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"the id is no text\n"
        ),
        id="disable an id that is no text",
    ),
    pytest.param(
        b"hello\r\n\r\n",
        (
            b"HTTP/1.1 400 Bad Request\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 28\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"this is no call in HTTP/1.1\n"
        ),
        id="not HTTP",
    ),
    pytest.param(
        b"GET http:// HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 400 Bad Request\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 24\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"the path cannot be read\n"
        ),
        id="path that cannot be read",
    ),
    pytest.param(
        b"GET /rea",
        (
            b"HTTP/1.1 408 Request Timeout\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 22\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"no whole call in time\n"
        ),
        id="incomplete call in 0.8 s",
    ),
    pytest.param(b"GET /cells HTTP/1.1\r\n\r\n", NO_SUCH_CALL, id="cells without cells"),
    pytest.param(
        b"GET /start HTTP/1.1\r\n\r\n", NO_SUCH_CALL, id="start without an operators' file"
    ),
]
# To a broker that knows no endpoint list yet.
CALLS_BEFORE_THE_ENDPOINT_LIST = [
    pytest.param(
        b"GET /ready HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 503 Service Unavailable\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 10\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"not ready\n"
        ),
        id="ready",
    ),
    pytest.param(b"POST /data-engines/disable/s-1 HTTP/1.1\r\n\r\n", NO_SUCH_ENGINE, id="disable"),
]
# To a broker whose endpoint list holds the engine `s-1`; each is longer than the broker reads.
CALLS_BEYOND_THE_BOUNDS = [
    pytest.param(
        b"GET /ready HTTP/1.1\r\nA: " + b"a" * 9_000 + b"\r\n\r\n",
        (
            b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 21\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"the head is too long\n"
        ),
        id="long head",
    ),
    pytest.param(
        b"POST /ready HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + b"a" * 17_000,
        (
            b"HTTP/1.1 413 Content Too Large\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 26\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"no call needs such a body\n"
        ),
        id="long body",
    ),
]
