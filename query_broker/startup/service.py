"""Joins the start's decisions to the node, the bus and the disk."""

from __future__ import annotations

import asyncio
import json
import os
import random
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from ..decisions.facade import (
    AttemptResult,
    CoProcessLoad,
    Effect,
    EndpointState,
    OutstandingWork,
    Settings,
)
from ..discovery.event_codec import BadLine, ListedEndpoint, parse_event
from ..discovery.watch_client import CONNECT, SILENT, WatchClient
from ..dispatch.observers import DispatchObserver
from ..endpoints.endpoint_table import EndpointTable
from ..metrics import ERROR, SUCCESS
from ..protocols.client_connection import ClientConnection
from ..server.host import Host
from .admission_ramp import Ramp, assumed, pause
from .endpoint_snapshot import MOST, BadList, LastList, decode, encode
from .pacing import Calls, Gate, probe_at, slot, time_out
from .settings import StartupSettings
from .stages import Source, Stage, Start

S = 1_000_000_000
MS = 1_000_000
SAVE = 5 * S  # between two looks whether the list on disk is still the one in force
NOWHERE = ("\0unconfirmed",)  # no engine is of this kind: rule on placement, the module's own
STATES = {
    EndpointState.READY: "in_service",
    EndpointState.DRAINING: "terminating",
    EndpointState.REMOVED: "terminated",
}
JSON = "application/json"


def plain(target: ListedEndpoint) -> dict[str, Any]:
    """A target as the bus tells of it."""
    return {
        "uid": target.uid,
        "endpoint": f"{target.host}:{target.port}",
        "az": target.zone,
        "model": target.kind,
        "pod_group": target.cell,
        "state": STATES[target.state],
        "capacity_hint": target.weight,
        "boot_ms": target.started_ns // MS,
    }


def listed(table: EndpointTable) -> tuple[dict[str, Any], ...]:
    return tuple(
        plain(k.target)
        for k in table.by_uid.values()
        if k.target.state is not EndpointState.REMOVED
    )


class ListPace:
    """The feed's pace: by place, then by full jitter."""

    def __init__(self, owner: StartupService, me: int, fleet: int, terms: StartupSettings) -> None:
        self.owner, self.now = owner, owner.node.clock.now
        self.calls = Calls(me, fleet, terms.list_connects, owner.draw)
        now = self.now()
        self.first_wait = (self.calls.first(now) - now) / S

    def wait(self) -> float:
        now = self.now()
        return (self.calls.again(now) - now) / S

    def time_out(self) -> float:
        return time_out(self.calls.failed, int(CONNECT * S), 8 * S) / S

    def silent(self) -> int:
        return time_out(self.calls.failed, SILENT, 16 * S)

    def spoke(self) -> None:
        self.calls.succeeded()
        self.owner.confirmed()


class StartupService(DispatchObserver):
    """One node's start. Everything is asked from its tick; files are written on a thread."""

    def __init__(self, node: Host, terms: StartupSettings) -> None:
        self.node, self.terms = node, terms
        self.me, self.fleet = node.config.settings.broker_index, node.config.settings.fleet_size
        self.draw = random.Random(node.config.seed ^ 0x5747).random
        now = node.clock.now()
        self.start = Start(terms, now)
        self.ramp: Ramp | None = None
        self.seen: set[int] = set()  # engines that have answered, or refused to
        self.asked: dict[int, int] = {}  # engine: when it is probed first
        self.counted = (0, 0)
        self.said = 0  # stages that the log has
        self.saved, self.saving, self.saved_offset = now, False, -1
        self.own = node.dispatcher.pools.own  # as it is in service
        self.held_back = False  # unsafe work is bound to no engine
        self.feed: WatchClient | None = None
        self.kept = self._read_disk() if not node.config.known else None
        age = None if self.kept is None else max(0, node.clock.now() - self.kept.saved_at)
        self.start.settings_read(now, age)
        if self.kept is not None:
            self._take_disk(self.kept)
        if node.config.known:
            self.start.list_told(now, Source.KNOWN, 0)
        self._ask_contact(now)
        node.dispatcher.add_observer(self)
        node.dispatcher.extensions.metrics_sources.append(self.figures)
        node.dispatcher.pools.turn = self._connect_wait
        self.gate = Gate(terms.accepts, now)
        self.unread: dict[ClientConnection, None] = {}  # let in, and not read yet, in their order

    def resize(self, me: int, fleet: int) -> None:
        """The brokers that are there are other than the file says."""
        self.me, self.fleet = me, fleet
        if self.feed is not None and isinstance(self.feed.pace, ListPace):
            self.feed.pace.calls.me, self.feed.pace.calls.fleet = me, fleet

    # --- the list ---

    def pace(self, feed: WatchClient) -> None:
        self.feed = feed
        feed.pace = ListPace(self, self.me, self.fleet, self.terms)
        if self.kept is not None:
            feed.last = self.kept.offset  # what it lacks, not the whole again

    def _read_disk(self) -> LastList | None:
        path = self.terms.last_list
        if not path:
            return None
        try:
            with open(path, encoding="utf-8") as file:
                kept = decode(
                    file.read(MOST),
                    self.terms.installation,
                    self.node.clock.now(),
                    self.terms.last_list_age,
                )
            parse_event(kept.event())
            return kept
        except FileNotFoundError:
            return None
        except (BadList, BadLine, UnicodeDecodeError) as error:
            self.node.log("start", f"last list: {path}: {error}; set aside")
            try:
                os.replace(path, f"{path}.bad")
            except OSError as problem:
                self.node.log("start", f"last list: {path}: {problem}")
        except OSError as error:
            self.node.log("start", f"last list: {path}: {error}")
        return None

    def _take_disk(self, kept: LastList) -> None:
        """Danger: an address may be another engine's by now: until the bus has spoken nothing that
        may not run twice goes there. The module refuses it by its own rule on placement.
        """
        self.node.dispatcher.endpoint_list_changed(parse_event(kept.event()))
        self.held_back = True
        self.node.dispatcher.extensions.settings_adjusters.append(self._bind)
        self.node.dispatcher.refresh_settings()

    def _bind(self, settings: Settings) -> Settings:
        if not self.held_back:
            return settings
        return replace(
            settings,
            classes=tuple(
                c if c.effect is Effect.IDEMPOTENT else replace(c, allowed_kinds=NOWHERE)
                for c in settings.classes
            ),
        )

    def told(self) -> None:
        """News of the bus has been taken in."""
        self.start.list_told(self.node.clock.now(), Source.BUS, self._count())

    def confirmed(self) -> None:
        """The bus has nothing newer than we have."""
        if self.held_back:
            self.held_back = False
            self.node.dispatcher.refresh_settings()
            self.node.log("start", "the bus has confirmed the last list")
        if self.start.source is not Source.BUS and (
            self._count() or self.start.source is not Source.NONE
        ):
            self.node.endpoint_list_known = True
            self.start.list_told(self.node.clock.now(), Source.BUS, self._count())

    def _count(self) -> int:
        return sum(
            k.target.state is EndpointState.READY
            for k in self.node.dispatcher.endpoint_table.by_number.values()
        )

    # --- first contact ---

    def _ask_contact(self, now: int) -> None:
        if not self.node.config.settings.limits.health_checks:
            self.start.terms = replace(self.start.terms, contact_part=0.0)  # nobody may be asked

    def health_check_ended(self, endpoint: int, result: AttemptResult) -> None:
        if result is not AttemptResult.TIMEOUT:  # refused is heard of, too; silence is not
            self.seen.add(endpoint)

    def _contact(self, now: int) -> None:
        ready = [
            n
            for n, k in self.node.dispatcher.endpoint_table.by_number.items()
            if k.target.state is EndpointState.READY
        ]
        for engine in ready:
            at = self.asked.get(engine)
            if at is None:
                at = self.asked[engine] = probe_at(
                    now, engine, self.me, self.fleet, self.terms.engine_probes
                )
            if 0 <= at <= now:
                self.asked[engine] = -1
                self.node.dispatcher.health_checks.start(now, engine)
        self.start.heard_of(now, len(self.seen.intersection(ready)), len(ready))

    # --- connections ---

    def _connect_wait(self, engine: int) -> int:
        """Danger: hundreds that open connections to one engine in a second are a push by
        themselves.
        """
        now = self.node.clock.now()
        return (
            slot(now, self.me + engine, self.fleet, self.terms.engine_connects, self.draw()) - now
        )

    def came(self, client: ClientConnection) -> None:
        """Danger: a front that finds this broker again hands it all that it holds back: those that
        are read at once keep the ones that were taken from their answers.
        """
        if (
            self.start.stage is Stage.FULL
            or not self.unread
            and self.gate.free(self.node.clock.now())
        ):
            return
        client.hold()
        self.unread[client] = None

    def _let_in(self, now: int, all_: bool) -> None:
        while self.unread and (all_ or self.gate.free(now)):
            client = next(iter(self.unread))
            del self.unread[client]
            client.go_on()

    # --- time ---

    def ready(self) -> bool:
        return self.start.ready()

    def tick(self, now: int) -> None:
        start = self.start
        if start.wants_disk(now):
            self.node.endpoint_list_known = True
            start.age = max(0, now - self.kept.saved_at) if self.kept is not None else 0
            start.list_told(now, Source.DISK, self._count())
        if (
            start.stage is Stage.LIST
            and not start.complained
            and now - start.since >= self.terms.list_wait
        ):
            start.complained = True
            self.node.log("start", "no list from the bus and none on disk: still asking, not ready")
        if start.stage is Stage.CONTACT:
            if self.node.peer_processes is not None and self.node.peer_processes.others:
                self._skip(now)
            else:
                self._contact(now)
        if start.stage is Stage.RAMP:
            self._ramp(now)
        self._let_in(now, start.stage is Stage.FULL)
        for passed in start.passed[self.said :]:
            self.node.log("start", f"{passed.stage.value}: {passed.took / S:.2f} s, {passed.why}")
        self.said = len(start.passed)
        if self.terms.last_list and now - self.saved >= SAVE:
            self._save(now)
        if start.stage is not Stage.FULL:
            self.node.dispatcher.wheel.soon()

    def _skip(self, now: int) -> None:
        self.start.skip(now, "another process of this broker serves beside it")
        self.node.dispatcher.pools.own, self.node.dispatcher.pools.turn = self.own, None
        self.node.dispatcher.extensions.retry_after_policy = None

    def _ramp(self, now: int) -> None:
        broker = self.node.dispatcher
        if self.node.peer_processes is not None and self.node.peer_processes.others:
            return self._skip(now)
        # Danger: a connection for each attempt, from every broker at once, is more handshakes than
        # queries.
        broker.pools.own = False
        first_time = self.ramp is None
        if self.ramp is None:
            self.ramp = Ramp(self.terms, now)
            broker.extensions.retry_after_policy = self._stay_away
        counts = [
            sum(c[status] for c in broker.metrics_counts.replies.values())
            for status in (SUCCESS, ERROR)
        ]
        before, at = self.ramp.share, self.ramp.at
        share = self.ramp.period(now, counts[0] - self.counted[0], counts[1] - self.counted[1])
        if self.ramp.at != at:
            self.counted = counts[0], counts[1]
        if first_time or share != before or self.ramp.at != at:
            widest = broker.facade.widest()
            left = (
                {
                    n: OutstandingWork(*assumed(share, threads, bound, widest), 0)
                    for n, (threads, bound) in broker.facade.shares().items()
                }
                if share < 1
                else {}
            )
            broker.report_event(CoProcessLoad(left, 1))
        self.start.ramped(now, share)
        if self.start.stage is Stage.FULL:
            broker.pools.own, broker.pools.turn = self.own, None
            broker.extensions.retry_after_policy = None

    def _stay_away(self, told: int) -> int:
        limits = self.node.config.settings.limits
        left = self.start.since + self.terms.ramp - self.node.clock.now()
        return pause(
            told, max(0, left), limits.max_retry_after_ns * limits.retry_after, self.draw()
        )

    # --- the last list ---

    def _save(self, now: int) -> None:
        self.saved = now
        offset = self.feed.last if self.feed is not None else 0
        if self.saving or not self.start.confirmed() or offset == self.saved_offset:
            return
        self.saving = True
        text = encode(
            LastList(
                self.terms.installation, offset, now, listed(self.node.dispatcher.endpoint_table)
            )
        )
        future = asyncio.get_running_loop().run_in_executor(
            None, write_whole, self.terms.last_list, text
        )
        future.add_done_callback(lambda done: self._was_saved(done, offset))

    def _was_saved(self, done: asyncio.Future[None], offset: int) -> None:
        self.saving = False
        if done.cancelled():
            return
        if (error := done.exception()) is not None:
            self.node.log("start", f"last list: not kept: {error}")
        else:
            self.saved_offset = offset

    def stop(self) -> None:
        """What has changed since the last look is written before the end, if the disk lets us."""
        if (
            self.terms.last_list
            and self.start.confirmed()
            and self.feed is not None
            and self.feed.last != self.saved_offset
        ):
            text = encode(
                LastList(
                    self.terms.installation,
                    self.feed.last,
                    self.node.clock.now(),
                    listed(self.node.dispatcher.endpoint_table),
                )
            )
            try:
                write_whole(self.terms.last_list, text)
            except OSError as error:
                self.node.log("start", f"last list: not kept: {error}")

    # --- operators ---

    def call(self, method: str, path: str) -> tuple[int, bytes, str, str] | None:
        if path != "/start":
            return None
        if method != "GET":
            return 405, b'{"error": "this call is a GET"}\n', JSON, "GET"
        return 200, json.dumps(self.status()).encode() + b"\n", JSON, ""

    def figures(self) -> bytes:
        """Seconds in each stage so far, and the share that is open."""
        now = self.node.clock.now()
        took = {p.stage: p.took for p in self.start.passed}
        took[self.start.stage] = now - self.start.since
        lines = [
            "# HELP edge_proxy_start_seconds Time in each stage of the start.",
            "# TYPE edge_proxy_start_seconds gauge",
            *(
                f'edge_proxy_start_seconds{{stage="{s.value}"}} {t / S:.3f}'
                for s, t in took.items()
            ),
            "# HELP edge_proxy_start_share Share of the admission that is open.",
            "# TYPE edge_proxy_start_share gauge",
            f"edge_proxy_start_share {self.start.share:.4f}",
        ]
        return ("\n".join(lines) + "\n").encode()

    def status(self) -> Mapping[str, Any]:
        return {"place": self.me, "fleet": self.fleet, **self.start.told(self.node.clock.now())}


def write_whole(path: str, text: str) -> None:
    """By rename: whoever reads sees the whole of one or of the other. On a thread: it waits for the
    disk.
    """
    early = f"{path}.{os.getpid()}.new"
    try:
        with open(early, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(early, path)
    except OSError:
        try:
            os.unlink(early)
        except OSError:
            pass  # it was never there
        raise
