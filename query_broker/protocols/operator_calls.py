"""The calls of the admin API that the broker itself answers. Performs no I/O."""

from __future__ import annotations

from typing import Protocol
from urllib.parse import unquote_to_bytes

from .operator_answers import METRICS_CONTENT_TYPE, HttpAnswer, OperatorCallError, text_answer

READY_PATH = "/ready"
METRICS_PATH = "/metrics"
# Path prefixes that are followed by the uid of an endpoint.
DISABLE_PATH_PREFIX = "/data-engines/disable/"
ENABLE_PATH_PREFIX = "/data-engines/enable/"


class OperatorActions(Protocol):
    """The actions that the calls carry out."""

    def ready(self) -> bool:
        """Return whether requests of clients are served."""

    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""

    def set_endpoint_disabled(self, uid: str, disabled: bool) -> bool:
        """Disable or re-enable an endpoint administratively; return whether the uid is known."""

    def call_subsystem(self, method: str, path: str) -> HttpAnswer | None:
        """Answer a call of a subsystem, or return None if no subsystem has this call."""


def answer_call(actions: OperatorActions, method: str, path: str) -> HttpAnswer:
    """Carry out a call, and return its answer.

    Raises:
        OperatorCallError: There is no such call, or it cannot be carried out.
    """
    subsystem_answer = actions.call_subsystem(method, path)
    if subsystem_answer is not None:
        return subsystem_answer
    is_endpoint_call = path.startswith((DISABLE_PATH_PREFIX, ENABLE_PATH_PREFIX))
    if not is_endpoint_call and path not in (READY_PATH, METRICS_PATH):
        text = "no such call"
        raise OperatorCallError(404, text)
    allowed_method = "POST" if is_endpoint_call else "GET"
    if method != allowed_method:
        text = f"this call is a {allowed_method}"
        raise OperatorCallError(405, text, allowed_method)
    if path == METRICS_PATH:
        return HttpAnswer(status=200, body=actions.metrics(), content_type=METRICS_CONTENT_TYPE)
    if is_endpoint_call:
        return _set_endpoint_disabled(actions, path)
    if not actions.ready():
        text = "not ready"
        raise OperatorCallError(503, text)
    return text_answer(200, "ready")


def _set_endpoint_disabled(actions: OperatorActions, path: str) -> HttpAnswer:
    disable = path.startswith(DISABLE_PATH_PREFIX)
    prefix = DISABLE_PATH_PREFIX if disable else ENABLE_PATH_PREFIX
    try:
        uid = unquote_to_bytes(path.removeprefix(prefix)).decode()
    except UnicodeDecodeError:
        text = "the id is no text"
        raise OperatorCallError(400, text) from None
    if not actions.set_endpoint_disabled(uid, disabled=disable):
        text = "no data engine has this id"
        raise OperatorCallError(404, text)
    return text_answer(200, "done")
