"""The words of the operators' file, and what they make. Free of input and output; knows no
Starlark.

Each subsystem adds its words to `WORDS`: a function that takes the arguments as they come, checks
them, and puts what they say into the `Draft`. A fault is a `BadWord` of the form ``key: problem``;
the evaluator adds the file and the line. What can only be checked at the end (`Draft.finish`) names
the call that it is about.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields, replace
from typing import Any

from ..cells.model import KEY_FIELDS, BadMap, Cell, CellMap, Tenant, Timing
from ..deadlines.retry_budget import RetryBudgetSettings as FurtherTerms
from ..deadlines.settings import DeadlineSettings, Logs, MarginTerms
from ..membership.settings import MembershipSettings
from ..outlier_consensus.settings import OutlierConsensusSettings
from ..quotas.settings import QUOTA_KINDS, LimitSettings, QuotaSettings
from ..startup.settings import StartupSettings

MOST_CALLS = 200_000
MS = 1_000_000


class BadWord(ValueError):
    """``key: problem``; ``call`` is the number of the word that it is about, if not the present
    one.
    """

    def __init__(self, text: str, call: int | None = None) -> None:
        super().__init__(text)
        self.call = call


@dataclass(slots=True)
class Draft:
    """What the file has said so far. ``calls`` counts its words."""

    calls: int = 0
    epoch: int = 0
    default: str = ""
    timing: Timing = Timing()
    cells: dict[str, Cell] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)
    # the call of a word on a name
    said_at: dict[tuple[str, str], int] = field(default_factory=dict)
    once: set[str] = field(default_factory=set)
    deadlines: DeadlineSettings | None = None
    further: FurtherTerms | None = None
    further_classes: dict[str, tuple[str, float, float]] = field(default_factory=dict)
    logs: Logs | None = None
    start: StartupSettings | None = None
    members: MembershipSettings | None = None
    limits: dict[str, LimitSettings] = field(default_factory=dict)
    shares: QuotaSettings | None = None
    verdicts: OutlierConsensusSettings | None = None

    def shared(self) -> QuotaSettings | None:
        """The limits that are shared, and how; None: none. They rest on `members`, as verdicts
        do.
        """
        for word, said in (("limit", self.limits), ("verdicts", self.verdicts)):
            if said and self.members is None:
                raise BadWord(
                    f"{word}: needs members(...): brokers that don't know each other share nothing"
                )
        if not self.limits:
            return None
        return replace(self.shares or QuotaSettings(), limits=tuple(self.limits.values()))

    def deadline_terms(self) -> DeadlineSettings | None:
        """What is said of deadlines and of further attempts; None: nothing."""
        if self.deadlines is None and self.further is None:
            return None
        further = self.further and replace(
            self.further, classes=tuple(self.further_classes.values())
        )
        return replace(self.deadlines or DeadlineSettings(), further=further)

    def finish(self) -> CellMap | None:
        """The cell map, if the file names cells; BadWord where its words do not fit together."""
        if self.further_classes and self.further is None:
            name = next(iter(self.further_classes))
            raise BadWord(
                "further_class: needs further_attempts", self.said_at["further_class", name]
            )
        if not self.cells:
            if self.tenants:
                name = next(iter(self.tenants))
                raise BadWord("tenant.cell: the file names no cell", self.said_at["tenant", name])
            return None
        for tenant in self.tenants.values():
            for cell in tenant.cells:
                if cell not in self.cells:
                    raise BadWord(
                        f"tenant.cell: {cell!r} of {tenant.name!r} is no cell",
                        self.said_at["tenant", tenant.name],
                    )
        default = self.default or (next(iter(self.cells)) if len(self.cells) == 1 else "")
        if not default:
            raise BadWord("default_cell: is missing", self.calls)
        if default not in self.cells:
            raise BadWord(f"default_cell: {default!r} is no cell", self.said_at["default_cell", ""])
        taken: dict[tuple[str, str], str] = {}
        for cell_ in self.cells.values():
            for key in ("engines", "zones", "models"):
                for value in getattr(cell_, key):
                    if (other := taken.setdefault((key, value), cell_.name)) != cell_.name:
                        raise BadWord(
                            f"cell.{key}: {value!r} is in {other!r} already",
                            self.said_at["cell", cell_.name],
                        )
        try:
            return CellMap(
                self.epoch, tuple(self.cells.values()), default, self.tenants, self.timing
            )
        except BadMap as error:
            raise BadWord(str(error), self.calls) from None


# --- what arguments may be ---


def _text(value: Any, key: str) -> str:
    if not isinstance(value, str) or not value or len(value) > 256 or not value.isprintable():
        raise BadWord(f"{key}: {value!r:.60} is no text of 1 to 256 printable characters")
    return value


def _number(value: Any, key: str, least: float = 0.0, above: bool = False) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not -1e15 < value < 1e15:
        raise BadWord(f"{key}: {value!r:.60} is no number")
    if value < least or (above and value <= least):
        raise BadWord(f"{key}: must be {'above' if above else 'at least'} {least:g}")
    return float(value)


def _whole(value: Any, key: str, least: int = 0) -> int:
    if value != int(_number(value, key, least)):
        raise BadWord(f"{key}: {value!r} is no whole number")
    return int(value)


def _texts(value: Any, key: str) -> tuple[str, ...]:
    if not isinstance(value, list | tuple):
        raise BadWord(f"{key}: {value!r:.60} is no list")
    return tuple(_text(v, key) for v in value)


def _choice(value: Any, key: str, among: tuple[str, ...]) -> Any:
    if value not in among:
        raise BadWord(f"{key}: {value!r:.60} is none of {', '.join(repr(a) for a in among if a)}")
    return value


def _new(draft: Draft, word: str, name: str, known: Mapping[str, Any]) -> None:
    if name in known:
        raise BadWord(f"{word}.name: {name!r} is used twice")
    draft.said_at[word, name] = draft.calls


def _single(draft: Draft, word: str) -> None:
    if word in draft.once:
        raise BadWord(f"{word}: is said twice")
    draft.once.add(word)
    draft.said_at[word, ""] = draft.calls


# --- the words ---


def epoch(draft: Draft, number: Any) -> None:
    """Every changed map needs a higher one."""
    _single(draft, "epoch")
    draft.epoch = _whole(number, "epoch")


def cell(
    draft: Draft,
    name: Any,
    weight: Any = 1.0,
    engines: Any = (),
    zones: Any = (),
    models: Any = (),
    least: Any = 1,
    most: Any = 0,
    share: Any = 0.0,
) -> str:
    """A part of the fleet; gives its name back."""
    name = _text(name, "cell.name")
    if "/" in name or len(name) > 64:
        raise BadWord(f"cell.name: {name!r:.70} must have 64 characters at the most, and no /")
    _new(draft, "cell", name, draft.cells)
    least, most = _whole(least, "cell.least"), _whole(most, "cell.most")
    if most and most < least:
        raise BadWord(f"cell.most: must be 0 or at least {least}")
    draft.cells[name] = Cell(
        name,
        _number(weight, "cell.weight", above=True),
        _texts(engines, "cell.engines"),
        _texts(zones, "cell.zones"),
        _texts(models, "cell.models"),
        least,
        most,
        _number(share, "cell.share"),
    )
    return str(name)


def tenant(draft: Draft, name: Any, cell: Any = None, cells: Any = None, key: Any = "") -> str:
    """A tenant's home: one cell, or several among which it is spread by a field."""
    name = _text(name, "tenant.name")
    if "#" in name:
        raise BadWord("tenant.name: may hold no #")
    _new(draft, "tenant", name, draft.tenants)
    if (cell is None) == (cells is None):
        raise BadWord("tenant.cell: name one cell, or several as cells")
    homes = (_text(cell, "tenant.cell"),) if cells is None else _texts(cells, "tenant.cells")
    key = _choice(key, "tenant.key", KEY_FIELDS)
    if not homes or len(set(homes)) < len(homes):
        raise BadWord("tenant.cells: must name each cell once")
    if len(homes) > 1 and not key:
        raise BadWord("tenant.key: is missing, since the tenant is in several cells")
    draft.tenants[name] = Tenant(name, homes, key)
    return str(name)


def default_cell(draft: Draft, name: Any) -> None:
    """Where tenants go that nobody names."""
    _single(draft, "default_cell")
    draft.default = _text(name, "default_cell")


def moves(draft: Draft, **seconds: Any) -> None:
    """How long a move may stay in each stage, in seconds."""
    _single(draft, "moves")
    known = {f.name for f in fields(Timing)}
    for key in seconds:
        if key not in known:
            raise BadWord(f"moves.{key}: is none of {', '.join(sorted(known))}")
    draft.timing = Timing(
        **{key: int(_number(value, f"moves.{key}") * 1000) * MS for key, value in seconds.items()}
    )


def _flag(value: Any, key: str) -> bool:
    if not isinstance(value, bool):
        raise BadWord(f"{key}: {value!r:.60} is neither True nor False")
    return value


def _share(value: Any, key: str) -> float:
    if (value := _number(value, key)) > 1:
        raise BadWord(f"{key}: must lie in 0 to 1")
    return float(value)


def deadlines(
    draft: Draft,
    learn: Any = False,
    margin_ms: Any = 10,
    least_margin_ms: Any = 2,
    most_margin_ms: Any = 100,
    margin_share: Any = 0.99,
    count_from: Any = "last",
    half_close: Any = "left",
    slow_reader: Any = 30,
) -> None:
    """How a request's time is counted, and when its client has left."""
    _single(draft, "deadlines")
    start, least, most = (
        int(_number(v, f"deadlines.{k}", above=True) * MS)
        for k, v in (
            ("margin_ms", margin_ms),
            ("least_margin_ms", least_margin_ms),
            ("most_margin_ms", most_margin_ms),
        )
    )
    if not least <= start <= most:
        raise BadWord("deadlines.margin_ms: must lie in least_margin_ms to most_margin_ms")
    draft.deadlines = DeadlineSettings(
        _flag(learn, "deadlines.learn"),
        MarginTerms(start, least, most, _share(margin_share, "deadlines.margin_share")),
        _choice(count_from, "deadlines.count_from", ("first", "last")),
        _choice(half_close, "deadlines.half_close", ("left", "answer")),
        int(_number(slow_reader, "deadlines.slow_reader", above=True) * 1000) * MS,
    )


def further_attempts(
    draft: Draft,
    share: Any = 0.2,
    burst: Any = 10,
    by_tenant: Any = True,
    first: Any = 1.0,
    least_ms: Any = 100,
) -> None:
    """A budget for further attempts: a share of a token for each first one, and how many may be
    saved up.
    """
    _single(draft, "further_attempts")
    if not (first := _share(first, "further_attempts.first")):
        raise BadWord("further_attempts.first: must be above 0")
    draft.further = FurtherTerms(
        _number(share, "further_attempts.share"),
        _number(burst, "further_attempts.burst", 1),
        (),
        _flag(by_tenant, "further_attempts.by_tenant"),
        first,
        int(_number(least_ms, "further_attempts.least_ms", above=True) * MS),
    )


def further_class(draft: Draft, name: Any, share: Any, burst: Any) -> None:
    """Another budget for one class."""
    name = _text(name, "further_class.name")
    _new(draft, "further_class", name, draft.further_classes)
    draft.further_classes[name] = (
        name,
        _number(share, "further_class.share"),
        _number(burst, "further_class.burst", 1),
    )


def logs(draft: Draft, format: Any = "text", stories: Any = 0.0) -> None:
    """Structured lines, and the share of requests that get a line of their own."""
    _single(draft, "logs")
    draft.logs = Logs(
        _choice(format, "logs.format", ("plain", "text", "json")), _share(stories, "logs.stories")
    )


def start(
    draft: Draft,
    list_connects: Any = 50,
    list_wait: Any = 10,
    engine_probes: Any = 20,
    engine_connects: Any = 100,
    accepts: Any = 200,
    contact_part: Any = 0.5,
    contact_wait: Any = 2,
    floor: Any = 0.1,
    ramp: Any = 8,
    last_list: Any = "",
    last_list_age: Any = 3_600,
    installation: Any = "",
) -> None:
    """How a broker starts where hundreds may start at once; rates are the whole fleet's, times in
    seconds.
    """
    _single(draft, "start")
    if not 0 < (floor := _share(floor, "start.floor")):
        raise BadWord("start.floor: must be above 0")
    if last_list and not str(last_list).startswith("/"):
        raise BadWord(f"start.last_list: {last_list!r:.60} is no path from the root")

    def span(value: Any, key: str) -> int:
        return int(_number(value, f"start.{key}") * 1000) * MS

    draft.start = StartupSettings(
        list_connects=_number(list_connects, "start.list_connects", above=True),
        list_wait_ns=span(list_wait, "list_wait"),
        engine_probes=_number(engine_probes, "start.engine_probes", above=True),
        endpoint_connects_per_s=_number(engine_connects, "start.engine_connects", above=True),
        accepts_per_s=_number(accepts, "start.accepts", above=True),
        contact_fraction=_share(contact_part, "start.contact_part"),
        contact_wait=span(contact_wait, "contact_wait"),
        initial_fraction=floor,
        ramp_ns=span(ramp, "ramp"),
        snapshot_path=_text(last_list, "start.last_list") if last_list else "",
        snapshot_max_age_ns=span(last_list_age, "last_list_age"),
        installation=_text(installation, "start.installation") if installation else "",
    )


def _address(value: Any, key: str) -> str:
    text = str(_text(value, key))
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if (
        len(parts) != 4
        or not all(p.isdecimal() and int(p) < 256 for p in parts)
        or not (port.isdecimal() and int(port) < 65_536)
    ):
        raise BadWord(f"{key}: {text!r:.60} is no IPv4 address host:port")
    return text


def members(
    draft: Draft,
    address: Any,
    key_file: Any,
    installation: Any,
    advertise: Any = "",
    seeds: Any = (),
    seeds_file: Any = "",
    interval: Any = 1,
    sync: Any = 30,
    part: Any = 1 / 3,
    settle: Any = 5,
    forget: Any = 600,
) -> None:
    """The brokers find out which of them are there; times in seconds."""
    _single(draft, "members")
    if not 0 < (part := _share(part, "members.part")) < 0.5:
        raise BadWord(
            "members.part: must lie between 0 and 0.5: with half lost neither side may be sure"
        )

    def span(value: Any, key: str, least: float) -> int:
        return int(_number(value, f"members.{key}", least) * 1000) * MS

    draft.members = MembershipSettings(
        _address(address, "members.address"),
        _address(advertise, "members.advertise") if advertise else "",
        tuple(_address(s, "members.seeds") for s in _texts(seeds, "members.seeds")),
        _text(seeds_file, "members.seeds_file") if seeds_file else "",
        _text(key_file, "members.key_file"),
        _text(installation, "members.installation"),
        span(interval, "interval", 0.05),
        span(sync, "sync", 0.5),
        part,
        span(settle, "settle", 0),
        span(forget, "forget", 10),
    )


def limit(draft: Draft, name: Any, kind: Any = "tenant", rate: Any = 0) -> None:
    """A limit that all brokers share; without a rate it is as the settings have it."""
    name = _text(name, "limit.name")
    _new(draft, "limit", name, draft.limits)
    kind = _choice(kind, "limit.kind", QUOTA_KINDS)
    if "/" in name or len(name) > 64:
        raise BadWord(f"limit.name: {name!r:.70} must have 64 characters at the most, and no /")
    if kind != "tenant" and any(li.kind == kind for li in draft.limits.values()):
        raise BadWord(f"limit.kind: there is a limit of kind {kind} already")
    rate = _number(rate, "limit.rate")
    if kind in ("further", "connects") and not rate:
        raise BadWord(f"limit.rate: is missing, the settings have none for {kind}")
    if kind == "work" and rate:
        raise BadWord("limit.rate: the engines say how much work there can be")
    draft.limits[name] = LimitSettings(name, kind, rate)


def limits(
    draft: Draft,
    lease: Any = 4,
    promise: Any = 6,
    drift: Any = 0.01,
    guaranteed: Any = 0.2,
    told: Any = 1,
) -> None:
    """How limits are shared; times in seconds."""
    _single(draft, "limits")
    if not 0 < (drift := _share(drift, "limits.drift")) < 0.5:
        raise BadWord("limits.drift: must lie between 0 and 0.5")
    if not 0 < (guaranteed := _share(guaranteed, "limits.guaranteed")):
        raise BadWord(
            "limits.guaranteed: must be above 0: without contact a broker has nothing else"
        )
    span = {
        k: int(_number(v, f"limits.{k}", 0.2) * 1000) * MS
        for k, v in (("lease", lease), ("promise", promise), ("told", told))
    }
    draft.shares = QuotaSettings(span["lease"], span["promise"], drift, guaranteed, span["told"])


def verdicts(
    draft: Draft,
    observers: Any = 3,
    failures: Any = 2,
    age: Any = 10,
    part: Any = 0.3,
    hold: Any = 5,
    most_hold: Any = 60,
    told: Any = 0.5,
) -> None:
    """What brokers see of engines, and operators say of them, is shared; times in seconds."""
    _single(draft, "verdicts")
    if (observers := _whole(observers, "verdicts.observers", 1)) < 2:
        raise BadWord(
            "verdicts.observers: must be at least 2: one that lies would hold out what it likes"
        )
    span = {
        k: int(_number(v, f"verdicts.{k}", above=True) * 1000) * MS
        for k, v in (("age", age), ("hold", hold), ("most_hold", most_hold), ("told", told))
    }
    draft.verdicts = OutlierConsensusSettings(
        observers,
        _whole(failures, "verdicts.failures", 1),
        span["age"],
        _share(part, "verdicts.part"),
        span["hold"],
        span["most_hold"],
        span["told"],
    )


WORDS: dict[str, Callable[..., Any]] = {
    "epoch": epoch,
    "cell": cell,
    "tenant": tenant,
    "default_cell": default_cell,
    "moves": moves,
    "deadlines": deadlines,
    "further_attempts": further_attempts,
    "further_class": further_class,
    "logs": logs,
    "start": start,
    "members": members,
    "limit": limit,
    "limits": limits,
    "verdicts": verdicts,
}
