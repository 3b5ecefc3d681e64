"""The adapter: the simulator's wire on standard input and output, one controller for each instance.

It translates and decides nothing. Malformed input ends the process with a line on standard error
and code 2.
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
from .config.reading import parse_settings
from .decisions.controller import AdmissionController

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
Fields = dict[str, str]


class WireError(Exception):
    """Input that does not keep to the wire."""


def _pick(table: dict[str, Any], value: str, what: str) -> Any:
    if value not in table:
        raise WireError(f"{what}: unknown value {value!r}")
    return table[value]


def _text(fields: Fields, name: str) -> str:
    if name not in fields:
        raise WireError(f"{name} is missing")
    return fields[name]


def _number(fields: Fields, name: str, kind: Callable[[str], Any], default: Any = None) -> Any:
    """A number of the line; without a default the field must be there."""
    if name not in fields and default is not None:
        return default
    value = _text(fields, name)
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"{name}: {value!r} is no {kind.__name__}") from None


def _flag(fields: Fields, name: str) -> bool:
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise WireError(f"{name}: {value!r} is no bool")
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
    """One gateway: its controller and the order of its load report's fields."""

    def __init__(self, fields: Fields, now: int) -> None:
        try:
            facts = json.loads(_text(fields, "facts"))
        except json.JSONDecodeError as error:
            raise WireError(f"facts: no JSON object ({error})") from None
        if not isinstance(facts, dict):
            raise WireError("facts: no JSON object")
        self.report_fields = list((facts.get("report") or {}).get("fields") or ())
        self.controller = AdmissionController(
            parse_settings(facts), _number(fields, "nonce64", int), now
        )

    def report(self, fields: Fields) -> api.LoadReport | None:
        row = fields.get("report")
        if not row or not self.report_fields:
            return None
        try:
            values = [float(value) for value in row.split(",")]
        except ValueError:
            raise WireError(f"report: {row!r} holds no numbers") from None
        return api.LoadReport(
            **{
                REPORT_FIELDS[name]: value
                for name, value in zip(self.report_fields, values, strict=False)
                if name in REPORT_FIELDS
            }
        )

    def event(
        self, name: str, f: Fields, lists: dict[int, tuple[api.EndpointEntry, ...]]
    ) -> api.Event | None:
        """The interface's event for a line of the wire; None for a message that is not known."""
        if name == "TARGETS":
            kind = _pick(LIST_KINDS, _text(f, "mode"), "mode")
            if kind is api.ListUpdateKind.FAILED:
                return api.EndpointListUpdate(kind)
            number = _number(f, "list", int)
            if number not in lists:
                raise WireError(f"list: {number} was never laid out")
            return api.EndpointListUpdate(kind, lists[number])
        if name == "INGRESS":
            tenant = f.get("user_group")
            return api.RequestArrived(
                _text(f, "req"),
                _text(f, "kind"),
                _number(f, "patience_left", int),
                None if tenant in (None, "0") else tenant,
                f.get("table"),
                _number(f, "expected", int, 0),
                _number(f, "mem_mb", float, 0.0),
                _number(f, "tables", int, -1),
                _flag(f, "again_by_client"),
            )
        if name == "FINISHED":
            return api.AttemptEnded(
                _text(f, "req"),
                _number(f, "n", int),
                _number(f, "engine", int),
                _pick(RESULTS, _text(f, "reason"), "reason"),
                _number(f, "time_taken", int, 0),
                _flag(f, "done_flag"),
                self.report(f),
            )
        if name == "HEARTBEAT":
            what = _number(f, "what", int)
            if what not in (1, 2, 3):
                return None
            return api.AttemptProgress(
                _text(f, "req"),
                _number(f, "n", int),
                _number(f, "engine", int),
                api.ProgressKind(what),
                _number(f, "level", float, 0.0),
            )
        if name == "VANISHED":
            return api.RequestAbandoned(_text(f, "req"))
        if name == "TIMEOUT_FIRED":
            return api.TimerFired(_number(f, "nonce", int))
        if name == "STATUS_BACK":
            return api.HealthCheckResult(
                _number(f, "engine", int),
                _pick(RESULTS, _text(f, "reason"), "reason"),
                _number(f, "time_taken", int, 0),
                self.report(f),
            )
        if name == "WHISPER":
            try:
                raw = f.get("raw", "-")
                payload = b"" if raw == "-" else base64.b64decode(raw, validate=True)
            except binascii.Error:
                raise WireError("raw: no base64") from None
            return api.PeerMessage(_number(f, "neighbour", int), payload)
        return None


def _render(inst: str, action: api.Order) -> str:
    match action:
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
        self.source, self.sink = source, sink
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, tuple[api.EndpointEntry, ...]] = {}
        self.frame: int | None = None

    def run(self) -> None:
        while line := self.source.readline():
            if line.strip():
                self._batch(line)

    def _split(self, line: str) -> tuple[str, Fields]:
        name, *parts = line.rstrip("\n").split("\t")
        if not name or "=" in name:
            raise WireError("a line without its name")
        fields = {}
        for part in parts:
            key, equals, value = part.partition("=")
            if not equals:
                raise WireError(f"{name}: {part!r} is no name=value pair")
            fields[key] = value
        return name, fields

    def _next(self) -> tuple[str, Fields]:
        line = self.source.readline()
        if not line:
            raise WireError("the input ends inside a batch")
        return self._split(line)

    def _batch(self, first: str) -> None:
        name, fields = self._split(first)
        if name != "TURN":
            raise WireError(f"a batch begins with {name}, not with TURN")
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
                    raise WireError("TABLE: a line that is no ROW among its entries")
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
            if name == "BEGIN":
                self.instances[inst] = Instance(fields, now)
                return
            if inst not in self.instances:
                raise WireError(f"{name} for {inst}, which never began")
            event = self.instances[inst].event(name, fields, self.lists)
            actions = [] if event is None else self.instances[inst].controller.handle(now, event)
        except WireError as error:
            raise WireError(f"{name}: {error}") from None
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            text = f"{type(error).__name__}: {error}".replace("\n", " ").replace("\t", " ")
            out.append(f"BUG\ti={inst}\tbody_text={text}\n")
            return
        out.extend(_render(inst, action) for action in actions)


def main() -> int:
    adapter = Adapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except (WireError, UnicodeDecodeError) as error:
        where = "before the first frame" if adapter.frame is None else f"frame {adapter.frame}"
        print(f"benchlink: {where}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
