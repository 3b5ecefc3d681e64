"""Serves the simulator's line protocol on standard input and output.

Each simulated broker (an instance) has a controller of its own. The adapter only translates between
the names of the wire and the terms of the decisions, by the tables below. Malformed input ends the
process with one line on standard error and exit code 2.
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

ENDPOINT_STATES = {
    "SERVING": api.EndpointState.READY,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.REMOVED,
}
LIST_UPDATE_KINDS = {
    "D": api.ListUpdateKind.CHANGES,
    "F": api.ListUpdateKind.FULL,
    "C": api.ListUpdateKind.CACHED,
    "X": api.ListUpdateKind.FAILED,
}
ATTEMPT_RESULTS = {
    "served": api.AttemptResult.SERVED,
    "server_error": api.AttemptResult.ERROR,
    "turned_away": api.AttemptResult.FULL,
    "no_answer": api.AttemptResult.TIMEOUT,
    "no_connection": api.AttemptResult.CONNECT_FAILED,
    "connection_lost": api.AttemptResult.RESET,
    "called_off": api.AttemptResult.CANCELLED,
    "not_sent": api.AttemptResult.NOT_SENT,
}
LOAD_REPORT_ATTRIBUTES = {"busy": "utilisation", "q": "queue", "x0": "memory", "x1": "disk"}
#: The name on the wire of each error of the decisions: that of the built-in type it derives from.
BUILTIN_ERROR_NAMES: dict[type[Exception], str] = {
    api.InvalidSettingsError: "ValueError",
    api.UnknownRequestClassError: "ValueError",
    api.UnknownEventError: "TypeError",
}
#: The `user_group` of a request without a tenant.
NO_TENANT_GROUP = "0"
#: Stands for an empty payload in a `raw` field.
EMPTY_PAYLOAD_MARK = "-"
#: Subjects of a `WireError` that concerns no particular field.
LINE_SUBJECT = "a line"
INPUT_SUBJECT = "the input"
BATCH_SUBJECT = "a batch"
MALFORMED_INPUT_EXIT_CODE = 2

#: The values of a line's fields, by field name.
Fields = dict[str, str]
#: Endpoint lists, by their number on the wire.
EndpointLists = dict[int, tuple[api.EndpointEntry, ...]]


class WireLine(NamedTuple):
    """A parsed line of the wire: its message name and its fields."""

    name: str
    fields: Fields


class WireError(QueryBrokerError):
    """Input that violates the wire format.

    Attributes:
        subject: The field, line or batch at fault.
        problem: What is wrong with it.
    """

    def __init__(self, subject: str, problem: str, separator: str = ": ") -> None:
        """Create an error whose text is the subject, the separator and the problem."""
        super().__init__(f"{subject}{separator}{problem}")
        self.subject = subject
        self.problem = problem


def _decode_value(table: dict[str, Any], value: str, field: str) -> Any:
    """Return the term that a value of the wire stands for."""
    if value not in table:
        raise WireError(field, f"unknown value {value!r}")
    return table[value]


def _required_field(fields: Fields, name: str) -> str:
    if name not in fields:
        raise WireError(name, "is missing", " ")
    return fields[name]


def _parse_number(
    fields: Fields, name: str, number_type: Callable[[str], Any], default: Any = None
) -> Any:
    """Return a numeric field; a field without a default is required."""
    if name not in fields and default is not None:
        return default
    value = _required_field(fields, name)
    try:
        return number_type(value)
    except ValueError:
        raise WireError(name, f"{value!r} is no {number_type.__name__}") from None


def _parse_flag(fields: Fields, name: str) -> bool:
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise WireError(name, f"{value!r} is no bool")
    return value == "1"


def _parse_endpoint_entry(fields: Fields) -> api.EndpointEntry:
    return api.EndpointEntry(
        endpoint=_parse_number(fields, "engine", int),
        state=_decode_value(ENDPOINT_STATES, fields.get("stage_state", "SERVING"), "stage_state"),
        zone=fields.get("area", ""),
        kind=fields.get("class_of_host", ""),
        cell=_parse_number(fields, "bay", int, 0),
        weight=_parse_number(fields, "power_hint", float, 1.0),
        started_ns=_parse_number(fields, "up_since", int, 0),
    )


class BrokerInstance:
    """One simulated broker.

    Attributes:
        report_field_names: The wire names of a load report's values, in their order on the wire.
        controller: The admission controller of this broker.
    """

    def __init__(self, fields: Fields, now_ns: int) -> None:
        """Create a controller with the settings of a BEGIN line.

        Raises:
            WireError: The settings are missing or are not a JSON object.
        """
        try:
            settings = json.loads(_required_field(fields, "facts"))
        except json.JSONDecodeError as error:
            raise WireError("facts", f"no JSON object ({error})") from None
        if not isinstance(settings, dict):
            raise WireError("facts", "no JSON object")
        self.report_field_names = list((settings.get("report") or {}).get("fields") or ())
        self.controller = AdmissionController(
            parse_settings(settings), _parse_number(fields, "nonce64", int), now_ns
        )

    def read_load_report(self, fields: Fields) -> api.LoadReport | None:
        """Return the load report of a line; None if the line has none."""
        report_text = fields.get("report")
        if not report_text or not self.report_field_names:
            return None
        try:
            values = [float(value) for value in report_text.split(",")]
        except ValueError:
            raise WireError("report", f"{report_text!r} holds no numbers") from None
        pairs = zip(self.report_field_names, values, strict=False)
        values_by_field = {
            LOAD_REPORT_ATTRIBUTES[name]: value
            for name, value in pairs
            if name in LOAD_REPORT_ATTRIBUTES
        }
        return api.LoadReport(**values_by_field)

    def read_event(self, name: str, fields: Fields, lists: EndpointLists) -> api.Event | None:
        """Return the event of a line; None for an unknown message name or progress kind."""
        reader = EVENT_READERS.get(name)
        return None if reader is None else reader(self, fields, lists)


def _endpoint_list_update(
    instance: BrokerInstance, fields: Fields, lists: EndpointLists
) -> api.EndpointListUpdate:
    kind = _decode_value(LIST_UPDATE_KINDS, _required_field(fields, "mode"), "mode")
    if kind is api.ListUpdateKind.FAILED:
        return api.EndpointListUpdate(kind)
    number = _parse_number(fields, "list", int)
    if number not in lists:
        raise WireError("list", f"{number} was never laid out")
    return api.EndpointListUpdate(kind, lists[number])


def _request_arrived(
    instance: BrokerInstance, fields: Fields, lists: EndpointLists
) -> api.RequestArrived:
    tenant = fields.get("user_group")
    return api.RequestArrived(
        request_id=_required_field(fields, "req"),
        class_name=_required_field(fields, "kind"),
        timeout_ns=_parse_number(fields, "patience_left", int),
        tenant=None if tenant in (None, NO_TENANT_GROUP) else tenant,
        key=fields.get("table"),
        estimate_ns=_parse_number(fields, "expected", int, 0),
        memory_mb=_parse_number(fields, "mem_mb", float, 0.0),
        data_set=_parse_number(fields, "tables", int, -1),
        is_retry=_parse_flag(fields, "again_by_client"),
    )


def _attempt_ended(
    instance: BrokerInstance, fields: Fields, lists: EndpointLists
) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=_required_field(fields, "req"),
        attempt=_parse_number(fields, "n", int),
        endpoint=_parse_number(fields, "engine", int),
        result=_decode_value(ATTEMPT_RESULTS, _required_field(fields, "reason"), "reason"),
        latency_ns=_parse_number(fields, "time_taken", int, 0),
        finished=_parse_flag(fields, "done_flag"),
        load_report=instance.read_load_report(fields),
    )


def _attempt_progress(
    instance: BrokerInstance, fields: Fields, lists: EndpointLists
) -> api.AttemptProgress | None:
    kind = _parse_number(fields, "what", int)
    if kind not in {known_kind.value for known_kind in api.ProgressKind}:
        return None
    return api.AttemptProgress(
        request_id=_required_field(fields, "req"),
        attempt=_parse_number(fields, "n", int),
        endpoint=_parse_number(fields, "engine", int),
        kind=api.ProgressKind(kind),
        value=_parse_number(fields, "level", float, 0.0),
    )


def _request_abandoned(
    instance: BrokerInstance, fields: Fields, lists: EndpointLists
) -> api.RequestAbandoned:
    return api.RequestAbandoned(_required_field(fields, "req"))


def _timer_fired(instance: BrokerInstance, fields: Fields, lists: EndpointLists) -> api.TimerFired:
    return api.TimerFired(_parse_number(fields, "nonce", int))


def _health_check_result(
    instance: BrokerInstance, fields: Fields, lists: EndpointLists
) -> api.HealthCheckResult:
    return api.HealthCheckResult(
        endpoint=_parse_number(fields, "engine", int),
        result=_decode_value(ATTEMPT_RESULTS, _required_field(fields, "reason"), "reason"),
        latency_ns=_parse_number(fields, "time_taken", int, 0),
        load_report=instance.read_load_report(fields),
    )


def _peer_message(
    instance: BrokerInstance, fields: Fields, lists: EndpointLists
) -> api.PeerMessage:
    encoded = fields.get("raw", EMPTY_PAYLOAD_MARK)
    try:
        payload = b"" if encoded == EMPTY_PAYLOAD_MARK else base64.b64decode(encoded, validate=True)
    except binascii.Error:
        raise WireError("raw", "no base64") from None
    return api.PeerMessage(_parse_number(fields, "neighbour", int), payload)


#: The function that reads the event of each kind of message, by message name.
EVENT_READERS: dict[str, Callable[[BrokerInstance, Fields, EndpointLists], api.Event | None]] = {
    "TARGETS": _endpoint_list_update,
    "INGRESS": _request_arrived,
    "FINISHED": _attempt_ended,
    "HEARTBEAT": _attempt_progress,
    "VANISHED": _request_abandoned,
    "TIMEOUT_FIRED": _timer_fired,
    "STATUS_BACK": _health_check_result,
    "WHISPER": _peer_message,
}


def _encode_order(instance_id: str, order: api.Order) -> str:
    """Return the line that tells the simulator about an instance's order."""
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
        source: The stream from which batches are read.
        sink: The stream to which replies are written.
        instances: The simulated brokers, by their id on the wire.
        lists: The endpoint lists received so far, by number.
        frame_number: Number of the last batch, which the wire calls a frame; None before the first.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        """Create an adapter without instances; `run` serves the batches."""
        self.source = source
        self.sink = sink
        self.instances: dict[str, BrokerInstance] = {}
        self.lists: EndpointLists = {}
        self.frame_number: int | None = None

    def run(self) -> None:
        """Serve batches until the end of the input.

        Raises:
            WireError: The input violates the wire format.
        """
        while line := self.source.readline():
            if line.strip():
                self._serve_batch(line)

    def _parse_line(self, text: str) -> WireLine:
        name, *parts = text.rstrip("\n").split("\t")
        if not name or "=" in name:
            raise WireError(LINE_SUBJECT, "without its name", " ")
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
            raise WireError(INPUT_SUBJECT, "ends inside a batch", " ")
        return self._parse_line(text)

    def _serve_batch(self, first_line: str) -> None:
        header = self._parse_line(first_line)
        if header.name != "TURN":
            raise WireError(BATCH_SUBJECT, f"begins with {header.name}, not with TURN", " ")
        self.frame_number = _parse_number(header.fields, "frame", int)
        now_ns = _parse_number(header.fields, "clock", int)
        reply: list[str] = []
        while (line := self._read_line()).name != "FLUSH":
            if line.name == "TABLE":
                self._read_list(line.fields)
            else:
                reply += self._serve_line(now_ns, line)
        reply.append(f"READY\tframe={self.frame_number}\n")
        self.sink.write("".join(reply))
        self.sink.flush()

    def _read_list(self, fields: Fields) -> None:
        """Read the ROW lines that follow a TABLE line, and store the endpoint list."""
        rows = [self._read_line() for _ in range(_parse_number(fields, "members_list", int))]
        if any(row.name != "ROW" for row in rows):
            raise WireError("TABLE", "a line that is no ROW among its entries")
        self.lists[_parse_number(fields, "list", int)] = tuple(
            _parse_endpoint_entry(row.fields) for row in rows
        )

    def _serve_line(self, now_ns: int, line: WireLine) -> list[str]:
        """Handle a line of a batch and return the lines of its reply.

        An exception raised by the decisions concerns one instance only, so it becomes a BUG line of
        the reply and does not end the process.
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
            error_name = BUILTIN_ERROR_NAMES.get(type(error), type(error).__name__)
            text = f"{error_name}: {error}".replace("\n", " ").replace("\t", " ")
            return [f"BUG\ti={instance_id}\tbody_text={text}\n"]
        return [_encode_order(instance_id, order) for order in orders]

    def _handle(self, now_ns: int, instance_id: str, line: WireLine) -> list[api.Order]:
        if line.name == "BEGIN":
            self.instances[instance_id] = BrokerInstance(line.fields, now_ns)
            return []
        instance = self.instances.get(instance_id)
        if instance is None:
            raise WireError(line.name, f"for {instance_id}, which never began", " ")
        event = instance.read_event(line.name, line.fields, self.lists)
        return [] if event is None else instance.controller.handle(now_ns, event)


def main() -> int:
    """Serve the simulator on standard input and output, and return the exit code."""
    adapter = Adapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except (WireError, UnicodeDecodeError) as error:
        position = (
            "before the first frame"
            if adapter.frame_number is None
            else f"frame {adapter.frame_number}"
        )
        print(f"benchlink: {position}: {error}", file=sys.stderr)
        return MALFORMED_INPUT_EXIT_CODE
    return 0


if __name__ == "__main__":
    sys.exit(main())
