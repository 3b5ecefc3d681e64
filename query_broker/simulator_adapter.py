"""The simulator's wire on standard input and output, with one controller for each instance.

The adapter translates and decides nothing; the wire's words stand here beside the terms that they
map to. Malformed input ends the process with one line on standard error and exit code 2.
"""

from __future__ import annotations

import base64
import binascii
import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from . import decisions as api
from .config import parse_settings
from .decisions.controller import AdmissionController
from .errors import QueryBrokerError

STATES = {
    "SERVING": api.EndpointState.READY,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.REMOVED,
}
LIST_KINDS = {
    "D": api.ListUpdateKind.CHANGES,
    "F": api.ListUpdateKind.FULL,
    "C": api.ListUpdateKind.CACHED,
    "X": api.ListUpdateKind.FAILED,
}
RESULTS = {
    "served": api.AttemptResult.SERVED,
    "server_error": api.AttemptResult.ERROR,
    "turned_away": api.AttemptResult.FULL,
    "no_answer": api.AttemptResult.TIMEOUT,
    "no_connection": api.AttemptResult.CONNECT_FAILED,
    "connection_lost": api.AttemptResult.RESET,
    "called_off": api.AttemptResult.CANCELLED,
    "not_sent": api.AttemptResult.NOT_SENT,
}
REPORT_FIELDS = {"busy": "utilisation", "q": "queue", "x0": "memory", "x1": "disk"}
# The wire names errors of the decisions by the built-in type that each derives from.
NAMES_OF_ERRORS: dict[type[Exception], str] = {
    api.InvalidSettingsError: "ValueError",
    api.UnknownRequestClassError: "ValueError",
    api.UnknownEventError: "TypeError",
}
NO_TENANT = "0"  # the group of a user who belongs to none
EMPTY_PAYLOAD = "-"
# What a fault is about where it is no field.
A_LINE = "a line"
THE_INPUT = "the input"
A_BATCH = "a batch"
EXIT_BAD_INPUT = 2

Fields = dict[str, str]
Lists = dict[int, tuple[api.EndpointEntry, ...]]  # endpoint lists by their number on the wire


class WireError(QueryBrokerError):
    """Input that does not keep to the wire.

    Attributes:
        subject: The field, or what else does not keep to it.
        problem: What is wrong with it.
    """

    def __init__(self, subject: str, problem: str, separator: str = ": ") -> None:
        """Compose the text from the subject and the problem."""
        super().__init__(f"{subject}{separator}{problem}")
        self.subject = subject
        self.problem = problem


def _pick(table: dict[str, Any], value: str, what: str) -> Any:
    if value not in table:
        raise WireError(what, f"unknown value {value!r}")
    return table[value]


def _text(fields: Fields, name: str) -> str:
    if name not in fields:
        raise WireError(name, "is missing", " ")
    return fields[name]


def _number(fields: Fields, name: str, kind: Callable[[str], Any], default: Any = None) -> Any:
    """Return a number of the line; without a default the field must be there."""
    if name not in fields and default is not None:
        return default
    value = _text(fields, name)
    try:
        return kind(value)
    except ValueError:
        raise WireError(name, f"{value!r} is no {kind.__name__}") from None


def _flag(fields: Fields, name: str) -> bool:
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise WireError(name, f"{value!r} is no bool")
    return value == "1"


def _entry(fields: Fields) -> api.EndpointEntry:
    return api.EndpointEntry(
        endpoint=_number(fields, "engine", int),
        state=_pick(STATES, fields.get("stage_state", "SERVING"), "stage_state"),
        zone=fields.get("area", ""),
        kind=fields.get("class_of_host", ""),
        cell=_number(fields, "bay", int, 0),
        weight=_number(fields, "power_hint", float, 1.0),
        started_ns=_number(fields, "up_since", int, 0),
    )


class Instance:
    """One simulated broker: its controller and the order of its load report's fields."""

    def __init__(self, fields: Fields, now: int) -> None:
        """Start a controller with the settings of a BEGIN line."""
        try:
            facts = json.loads(_text(fields, "facts"))
        except json.JSONDecodeError as error:
            raise WireError("facts", f"no JSON object ({error})") from None
        if not isinstance(facts, dict):
            raise WireError("facts", "no JSON object")
        self.report_fields = list((facts.get("report") or {}).get("fields") or ())
        self.controller = AdmissionController(
            parse_settings(facts), _number(fields, "nonce64", int), now
        )

    def report(self, fields: Fields) -> api.LoadReport | None:
        """Return the load report of a line, or None where it has none."""
        row = fields.get("report")
        if not row or not self.report_fields:
            return None
        try:
            values = [float(value) for value in row.split(",")]
        except ValueError:
            raise WireError("report", f"{row!r} holds no numbers") from None
        pairs = zip(self.report_fields, values, strict=False)
        known = {REPORT_FIELDS[name]: value for name, value in pairs if name in REPORT_FIELDS}
        return api.LoadReport(**known)

    def event(self, name: str, fields: Fields, lists: Lists) -> api.Event | None:
        """Return the event of a line, or None for a message that is not known."""
        read = EVENT_READERS.get(name)
        return None if read is None else read(self, fields, lists)


def _endpoint_list_update(
    instance: Instance, fields: Fields, lists: Lists
) -> api.EndpointListUpdate:
    kind = _pick(LIST_KINDS, _text(fields, "mode"), "mode")
    if kind is api.ListUpdateKind.FAILED:
        return api.EndpointListUpdate(kind)
    number = _number(fields, "list", int)
    if number not in lists:
        raise WireError("list", f"{number} was never laid out")
    return api.EndpointListUpdate(kind, lists[number])


def _request_arrived(instance: Instance, fields: Fields, lists: Lists) -> api.RequestArrived:
    tenant = fields.get("user_group")
    return api.RequestArrived(
        request_id=_text(fields, "req"),
        class_name=_text(fields, "kind"),
        timeout_ns=_number(fields, "patience_left", int),
        tenant=None if tenant in (None, NO_TENANT) else tenant,
        key=fields.get("table"),
        estimate_ns=_number(fields, "expected", int, 0),
        memory_mb=_number(fields, "mem_mb", float, 0.0),
        data_set=_number(fields, "tables", int, -1),
        is_retry=_flag(fields, "again_by_client"),
    )


def _attempt_ended(instance: Instance, fields: Fields, lists: Lists) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=_text(fields, "req"),
        attempt=_number(fields, "n", int),
        endpoint=_number(fields, "engine", int),
        result=_pick(RESULTS, _text(fields, "reason"), "reason"),
        latency_ns=_number(fields, "time_taken", int, 0),
        finished=_flag(fields, "done_flag"),
        load_report=instance.report(fields),
    )


def _attempt_progress(
    instance: Instance, fields: Fields, lists: Lists
) -> api.AttemptProgress | None:
    what = _number(fields, "what", int)
    if what not in {kind.value for kind in api.ProgressKind}:
        return None
    return api.AttemptProgress(
        request_id=_text(fields, "req"),
        attempt=_number(fields, "n", int),
        endpoint=_number(fields, "engine", int),
        kind=api.ProgressKind(what),
        value=_number(fields, "level", float, 0.0),
    )


def _request_abandoned(instance: Instance, fields: Fields, lists: Lists) -> api.RequestAbandoned:
    return api.RequestAbandoned(_text(fields, "req"))


def _timer_fired(instance: Instance, fields: Fields, lists: Lists) -> api.TimerFired:
    return api.TimerFired(_number(fields, "nonce", int))


def _health_check_result(instance: Instance, fields: Fields, lists: Lists) -> api.HealthCheckResult:
    return api.HealthCheckResult(
        endpoint=_number(fields, "engine", int),
        result=_pick(RESULTS, _text(fields, "reason"), "reason"),
        latency_ns=_number(fields, "time_taken", int, 0),
        load_report=instance.report(fields),
    )


def _peer_message(instance: Instance, fields: Fields, lists: Lists) -> api.PeerMessage:
    raw = fields.get("raw", EMPTY_PAYLOAD)
    try:
        payload = b"" if raw == EMPTY_PAYLOAD else base64.b64decode(raw, validate=True)
    except binascii.Error:
        raise WireError("raw", "no base64") from None
    return api.PeerMessage(_number(fields, "neighbour", int), payload)


#: What reads the event of each message of the wire.
EVENT_READERS: dict[str, Callable[[Instance, Fields, Lists], api.Event | None]] = {
    "TARGETS": _endpoint_list_update,
    "INGRESS": _request_arrived,
    "FINISHED": _attempt_ended,
    "HEARTBEAT": _attempt_progress,
    "VANISHED": _request_abandoned,
    "TIMEOUT_FIRED": _timer_fired,
    "STATUS_BACK": _health_check_result,
    "WHISPER": _peer_message,
}


def _render(inst: str, order: api.Order) -> str:
    """Return the line of the wire for an order of an instance."""
    match order:
        case api.Dispatch(request, _, engine, timeout, _):
            return f"FORWARD\ti={inst}\treq={request}\tengine={engine}\tallow_for={timeout}\n"
        case api.Reject(request, retry_after):
            return f"DENY\ti={inst}\treq={request}\twait={retry_after}\n"
        case api.Fail(request):
            return f"GIVE_UP\ti={inst}\treq={request}\n"
        case api.CancelAttempt(request, attempt):
            return f"DROP_ATTEMPT\ti={inst}\treq={request}\tn={attempt}\n"
        case api.SetTimer(at, token):
            return f"SET_ALARM\ti={inst}\tfire_at={at}\tnonce={token}\n"
        case api.HealthCheck(engine):
            return f"ASK_LOAD\ti={inst}\tengine={engine}\n"
        case api.DispatchOptions(request, priority, memory):
            return (
                f"RESOURCES\ti={inst}\treq={request}\t"
                f"importance={priority}\tallot_mb={memory:.3f}\n"
            )


class Adapter:
    """Reads batches, hands events to the instances and writes one reply for each batch."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        """Serve the batches of a source; `run` does so until its end."""
        self.source = source
        self.sink = sink
        self.instances: dict[str, Instance] = {}
        self.lists: Lists = {}
        self.frame: int | None = None

    def run(self) -> None:
        """Serve batches until the input ends; WireError where it does not keep to the wire."""
        while line := self.source.readline():
            if line.strip():
                self._batch(line)

    def _split(self, line: str) -> tuple[str, Fields]:
        name, *parts = line.rstrip("\n").split("\t")
        if not name or "=" in name:
            raise WireError(A_LINE, "without its name", " ")
        fields = {}
        for part in parts:
            key, equals, value = part.partition("=")
            if not equals:
                raise WireError(name, f"{part!r} is no name=value pair")
            fields[key] = value
        return name, fields

    def _next(self) -> tuple[str, Fields]:
        line = self.source.readline()
        if not line:
            raise WireError(THE_INPUT, "ends inside a batch", " ")
        return self._split(line)

    def _batch(self, first: str) -> None:
        name, fields = self._split(first)
        if name != "TURN":
            raise WireError(A_BATCH, f"begins with {name}, not with TURN", " ")
        self.frame = _number(fields, "frame", int)
        now = _number(fields, "clock", int)
        out: list[str] = []
        while True:
            name, fields = self._next()
            if name == "FLUSH":
                break
            if name == "TABLE":
                rows = [self._next() for _ in range(_number(fields, "members_list", int))]
                if any(row_name != "ROW" for row_name, _ in rows):
                    raise WireError("TABLE", "a line that is no ROW among its entries")
                self.lists[_number(fields, "list", int)] = tuple(_entry(row) for _, row in rows)
            else:
                self._dispatch(now, name, fields, out)
        out.append(f"READY\tframe={self.frame}\n")
        self.sink.write("".join(out))
        self.sink.flush()

    def _dispatch(self, now: int, name: str, fields: Fields, out: list[str]) -> None:
        inst = fields.get("i")
        if inst is None:
            return
        if name == "CRASH_NOW":
            self.instances.pop(inst, None)
            return
        try:
            orders = self._handle(now, name, inst, fields)
        except WireError as error:
            raise WireError(name, str(error)) from None
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            name_of_error = NAMES_OF_ERRORS.get(type(error), type(error).__name__)
            text = f"{name_of_error}: {error}".replace("\n", " ").replace("\t", " ")
            out.append(f"BUG\ti={inst}\tbody_text={text}\n")
            return
        out.extend(_render(inst, order) for order in orders)

    def _handle(self, now: int, name: str, inst: str, fields: Fields) -> list[api.Order]:
        if name == "BEGIN":
            self.instances[inst] = Instance(fields, now)
            return []
        instance = self.instances.get(inst)
        if instance is None:
            raise WireError(name, f"for {inst}, which never began", " ")
        event = instance.event(name, fields, self.lists)
        return [] if event is None else instance.controller.handle(now, event)


def main() -> int:
    """Serve standard input and output; return the exit code."""
    adapter = Adapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except (WireError, UnicodeDecodeError) as error:
        where = "before the first frame" if adapter.frame is None else f"frame {adapter.frame}"
        print(f"benchlink: {where}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
