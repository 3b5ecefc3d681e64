"""Calls to the subsystems of a node: their form, and the answers that several calls get."""

from __future__ import annotations

from typing import NamedTuple


class Answer(NamedTuple):
    """The answer of a subsystem; ``allowed_method`` is that of the ``Allow`` header of a 405."""

    status: int
    body: str
    content_type: str = "application/json"
    allowed_method: str = ""


class OperatorCall(NamedTuple):
    """A call and its answer; None where no subsystem serves the path."""

    method: str
    path: str
    answer: Answer | None


ONLY_GET = Answer(405, '{"error": "this call is a GET"}\n', allowed_method="GET")
ONLY_POST = Answer(405, '{"error": "this call is a POST"}\n', allowed_method="POST")
NO_SUCH_LIMIT = Answer(404, '{"error": "no such call, or no such limit"}\n')
START = Answer(
    200,
    (
        '{"place": 0, "fleet": 1, "stage": "contact", "for": 0.0, "waits_for": "0.5 '
        'of 0 engines, heard of 0", "ready": false, "list": "known", "list_age": '
        '0.0, "confirmed": true, "listed": 0, "heard": 0, "share": 0.0, "passed": '
        '[{"stage": "settings", "took": 0.0, "why": "read"}, {"stage": "list", '
        '"took": 0.0, "why": "told by the known"}]}\n'
    ),
)
