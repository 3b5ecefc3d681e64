"""The simulator's wire on standard input and output, with one controller for each instance.

The adapter only translates between the words of the wire and the terms of the decisions; the tables
here map one to the other. Malformed input ends the process with one line on standard error and exit
code 2.
"""

from __future__ import annotations

import base64
import binascii
import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, NamedTuple, TextIO

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
#: The wire names errors of the decisions by the built-in type that each derives from.
NAMES_OF_ERRORS: dict[type[Exception], str] = {
    api.InvalidSettingsError: "ValueError",
    api.UnknownRequestClassError: "ValueError",
    api.UnknownEventError: "TypeError",
}
#: The group of a user who belongs to none.
NO_TENANT = "0"
EMPTY_PAYLOAD = "-"
#: Subjects of a `WireError` that is not about a field.
A_LINE = "a line"
THE_INPUT = "the input"
A_BATCH = "a batch"
EXIT_BAD_INPUT = 2

#: The fields of a line, by name.
Fields = dict[str, str]
#: Endpoint lists by their number on the wire.
Lists = dict[int, tuple[api.EndpointEntry, ...]]


class WireLine(NamedTuple):
    """One line of the wire: its name and its fields."""

    name: str
    fields: Fields


class WireError(QueryBrokerError):
    """Input that violates the wire format.

    Attributes:
        subject: The field, line or batch at fault.
        problem: What is wrong with it.
    """

    def __init__(self, subject: str, problem: str, separator: str = ": ") -> None:
        """Compose the text from the subject and the problem."""
        super().__init__(f"{subject}{separator}{problem}")
        self.subject = subject
        self.problem = problem


def _pick(table: dict[str, Any], value: str, field: str) -> Any:
    """Return the term that a word of the wire stands for."""
    if value not in table:
        raise WireError(field, f"unknown value {value!r}")
    return table[value]


def _text(fields: Fields, name: str) -> str:
    if name not in fields:
        raise WireError(name, "is missing", " ")
    return fields[name]


def _number(
    fields: Fields, name: str, number_type: Callable[[str], Any], default: Any = None
) -> Any:
    """Return a number of the line; without a default the field must be there."""
    if name not in fields and default is not None:
        return default
    value = _text(fields, name)
    try:
        return number_type(value)
    except ValueError:
        raise WireError(name, f"{value!r} is no {number_type.__name__}") from None


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
    """One simulated broker.

    Attributes:
        report_fields: The names of a load report's values, in their order on the wire.
        controller: The decisions of this broker.
    """

    def __init__(self, fields: Fields, now_ns: int) -> None:
        """Start a controller with the settings of a BEGIN line.

        Raises:
            WireError: The line has no settings, or they are no JSON object.
        """
        try:
            facts = json.loads(_text(fields, "facts"))
        except json.JSONDecodeError as error:
            raise WireError("facts", f"no JSON object ({error})") from None
        if not isinstance(facts, dict):
            raise WireError("facts", "no JSON object")
        self.report_fields = list((facts.get("report") or {}).get("fields") or ())
        self.controller = AdmissionController(
            parse_settings(facts), _number(fields, "nonce64", int), now_ns
        )

    def report(self, fields: Fields) -> api.LoadReport | None:
        """Return the load report of a line, or None where it has none."""
        report_text = fields.get("report")
        if not report_text or not self.report_fields:
            return None
        try:
            values = [float(value) for value in report_text.split(",")]
        except ValueError:
            raise WireError("report", f"{report_text!r} holds no numbers") from None
        pairs = zip(self.report_fields, values, strict=False)
        values_by_field = {
            REPORT_FIELDS[name]: value for name, value in pairs if name in REPORT_FIELDS
        }
        return api.LoadReport(**values_by_field)

    def event(self, name: str, fields: Fields, lists: Lists) -> api.Event | None:
        """Return the event of a line; None for an unknown message or kind of progress."""
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
    kind = _number(fields, "what", int)
    if kind not in {known_kind.value for known_kind in api.ProgressKind}:
        return None
    return api.AttemptProgress(
        request_id=_text(fields, "req"),
        attempt=_number(fields, "n", int),
        endpoint=_number(fields, "engine", int),
        kind=api.ProgressKind(kind),
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


#: The function that reads the event of each message of the wire.
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


def _render(instance_id: str, order: api.Order) -> str:
    """Return the line of the wire for an order of an instance."""
    match order:
        case api.Dispatch(request, _, endpoint, timeout_ns, _):
            return (
                f"FORWARD\ti={instance_id}\treq={request}\t"
                f"engine={endpoint}\tallow_for={timeout_ns}\n"
            )
        case api.Reject(request, retry_after_ns):
            return f"DENY\ti={instance_id}\treq={request}\twait={retry_after_ns}\n"
        case api.Fail(request):
            return f"GIVE_UP\ti={instance_id}\treq={request}\n"
        case api.CancelAttempt(request, attempt):
            return f"DROP_ATTEMPT\ti={instance_id}\treq={request}\tn={attempt}\n"
        case api.SetTimer(due_ns, token):
            return f"SET_ALARM\ti={instance_id}\tfire_at={due_ns}\tnonce={token}\n"
        case api.HealthCheck(endpoint):
            return f"ASK_LOAD\ti={instance_id}\tengine={endpoint}\n"
        case api.DispatchOptions(request, priority, memory_mb):
            return (
                f"RESOURCES\ti={instance_id}\treq={request}\t"
                f"importance={priority}\tallot_mb={memory_mb:.3f}\n"
            )


class Adapter:
    """Reads batches, hands events to the instances and writes one reply for each batch.

    Attributes:
        source: Where batches are read.
        sink: Where replies are written.
        instances: The simulated brokers, by their id on the wire.
        lists: The endpoint lists so far.
        frame: Number of the last batch; None before the first.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        """Begin without instances; `run` serves the batches."""
        self.source = source
        self.sink = sink
        self.instances: dict[str, Instance] = {}
        self.lists: Lists = {}
        self.frame: int | None = None

    def run(self) -> None:
        """Serve batches until the input ends.

        Raises:
            WireError: The input violates the wire format.
        """
        while line := self.source.readline():
            if line.strip():
                self._serve_batch(line)

    def _parse_line(self, text: str) -> WireLine:
        name, *parts = text.rstrip("\n").split("\t")
        if not name or "=" in name:
            raise WireError(A_LINE, "without its name", " ")
        fields = {}
        for part in parts:
            key, equals, value = part.partition("=")
            if not equals:
                raise WireError(name, f"{part!r} is no name=value pair")
            fields[key] = value
        return WireLine(name, fields)

    def _read_line(self) -> WireLine:
        """Read the next line of a batch."""
        text = self.source.readline()
        if not text:
            raise WireError(THE_INPUT, "ends inside a batch", " ")
        return self._parse_line(text)

    def _serve_batch(self, first_line: str) -> None:
        first = self._parse_line(first_line)
        if first.name != "TURN":
            raise WireError(A_BATCH, f"begins with {first.name}, not with TURN", " ")
        self.frame = _number(first.fields, "frame", int)
        now_ns = _number(first.fields, "clock", int)
        reply: list[str] = []
        while (line := self._read_line()).name != "FLUSH":
            if line.name == "TABLE":
                self._read_list(line.fields)
            else:
                reply += self._serve_line(now_ns, line)
        reply.append(f"READY\tframe={self.frame}\n")
        self.sink.write("".join(reply))
        self.sink.flush()

    def _read_list(self, fields: Fields) -> None:
        """Read the rows of an endpoint list, which follow its TABLE line."""
        rows = [self._read_line() for _ in range(_number(fields, "members_list", int))]
        if any(row.name != "ROW" for row in rows):
            raise WireError("TABLE", "a line that is no ROW among its entries")
        self.lists[_number(fields, "list", int)] = tuple(_entry(row.fields) for row in rows)

    def _serve_line(self, now_ns: int, line: WireLine) -> list[str]:
        """Carry out a line and return the lines of its reply.

        A fault of the decisions is reported as a line of the reply, since it concerns one instance
        alone.
        """
        instance_id = line.fields.get("i")
        if instance_id is None:
            return []
        if line.name == "CRASH_NOW":
            self.instances.pop(instance_id, None)
            return []
        try:
            orders = self._handle(now_ns, instance_id, line)
        except WireError as error:
            raise WireError(line.name, str(error)) from None
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            name_of_error = NAMES_OF_ERRORS.get(type(error), type(error).__name__)
            text = f"{name_of_error}: {error}".replace("\n", " ").replace("\t", " ")
            return [f"BUG\ti={instance_id}\tbody_text={text}\n"]
        return [_render(instance_id, order) for order in orders]

    def _handle(self, now_ns: int, instance_id: str, line: WireLine) -> list[api.Order]:
        if line.name == "BEGIN":
            self.instances[instance_id] = Instance(line.fields, now_ns)
            return []
        instance = self.instances.get(instance_id)
        if instance is None:
            raise WireError(line.name, f"for {instance_id}, which never began", " ")
        event = instance.event(line.name, line.fields, self.lists)
        return [] if event is None else instance.controller.handle(now_ns, event)


def main() -> int:
    """Serve standard input and output; return the exit code."""
    adapter = Adapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except (WireError, UnicodeDecodeError) as error:
        position = "before the first frame" if adapter.frame is None else f"frame {adapter.frame}"
        print(f"benchlink: {position}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
