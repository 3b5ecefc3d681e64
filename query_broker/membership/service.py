"""Joins the membership to sockets, the key file and the node: the one module of it with input and
output.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from ..config.reading import ConfigError
from ..decisions.facade import EndpointState, Settings
from ..server.host import Host
from .codec import MOST_FRAME, BadKeys, Codec, KeyRing, Refused, read_keys
from .failure_detector import Detector
from .incarnations import Chain
from .messages import Identity, Status, Sync, Talk, name_of
from .settings import MembersTerms, bounds
from .views import View, Views

S = 1_000_000_000
PARTS = 5  # looks in an interval
STRANGERS = 200  # datagrams a second that are looked at, of addresses that are no member's
KNOWN = 2_000  # the same of members' addresses, and this many more for each
EACH = 20
MOST_SYNCS = 8  # connections at once that ask for the table
SYNC_TIME = 3.0  # s for one of them
MOST_SEEDS = 1_000
MOST_LINES = 8  # names in a line of the log
JSON = "application/json"
GAUGES = ("view_epoch", "view_certain", "view_limits_by", "doubt")
HELP = {
    "view_epoch": "Number of the view.",
    "view_certain": "1: limits go by the view.",
    "view_limits_by": "Brokers that limits are divided by.",
    "doubt": "How far the broker doubts its own senses, 0 to 8.",
    "suspicions": "Members that were suspected.",
    "refuted": "Suspicions of this broker that it refuted.",
    "false_suspicions": "Suspicions known to be false afterwards.",
    "removals": "Members that were removed.",
    "false_removals": "Removed members that came back.",
    "removal_ms": "Milliseconds from the last word of a member to its removal.",
    "bytes_in": "Bytes from members.",
    "bytes_out": "Bytes to members.",
    "flooded": "Datagrams that were not looked at, being too many.",
}


def address_of(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Budget:
    """How many a second; what was not used in the last second is lost."""

    def __init__(self, now: int) -> None:
        self.left, self.at = 0.0, now - S

    def take(self, now: int, rate: float) -> bool:
        self.left, self.at = min(rate, self.left + rate * (now - self.at) / S), now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Membership(asyncio.DatagramProtocol):
    """One node's place among the brokers. ``changed`` hears of each batch."""

    def __init__(self, node: Host, terms: MembersTerms, changed: Callable[[View], None]) -> None:
        self.node, self.terms, self.told = node, terms, changed
        settings = node.config.settings
        if not settings.limits.peer_messages:
            raise ConfigError("members: settings.policy_limits.peer_messages does not allow talk")
        try:
            self.codec = Codec(terms.installation, self._read_keys())
        except BadKeys as error:
            raise ConfigError(f"members.key_file: {terms.key_file}: {error}") from None
        host, port = address_of(terms.address)
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.tcp.bind((host, port))
            self.udp.bind((host, self.tcp.getsockname()[1]))
        except OSError as error:
            self.udp.close()
            self.tcp.close()
            raise ConfigError(f"members.address: {terms.address}: {error}") from None
        shown = terms.advertise or f"{host}:{self.tcp.getsockname()[1]}"
        now = node.clock.now()
        self.detector = Detector(
            shown,
            terms,
            Chain(),
            random.Random(os.urandom(16)),
            now,
            settings.broker_index,
            settings.zone,
        )
        self.views = Views(
            settings.fleet_size,
            settings.broker_index,
            terms.part,
            terms.settle,
            terms.interval,
            self._changed,
        )
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.syncing: set[asyncio.Task[None]] = set()
        self.serving = 0
        self.strangers, self.known = Budget(now), Budget(now)
        self.topics: dict[str, Callable[[int, str, bytes], None]] = {}
        self.addresses: set[str] = set()
        self.bytes = {"in": 0, "out": 0}
        self.flooded = 0
        self.due = self.looked = now
        self.closed = False
        self._read_seeds()

    # --- files ---

    def _read_keys(self) -> KeyRing:
        try:
            with open(self.terms.key_file, encoding="utf-8") as file:
                return read_keys(file.read(65_536))
        except (OSError, UnicodeDecodeError) as error:
            raise BadKeys(str(error)) from None

    def _read_seeds(self) -> None:
        seeds = list(self.terms.seeds)
        if self.terms.seeds_file:
            try:
                with open(self.terms.seeds_file, encoding="utf-8") as file:
                    seeds += [
                        line.strip()
                        for line in file.read(65_536).splitlines()
                        if line.strip() and not line.startswith("#")
                    ]
            except (OSError, UnicodeDecodeError) as error:
                self.node.log("members", f"seeds: {self.terms.seeds_file}: {error}")
        self.detector.seeds = [
            s
            for s in dict.fromkeys(seeds[:MOST_SEEDS])
            if s.rpartition(":")[2].isdecimal() and s != self.detector.me.address
        ]

    def reload(self) -> None:
        """SIGHUP: keys, seeds, and the size and place of the configuration."""
        try:
            self.codec.ring = self._read_keys()
        except BadKeys as error:
            self.node.log("members", f"the keys stay as they were: {self.terms.key_file}: {error}")
        self._read_seeds()
        settings = self.node.config.settings
        self.views.configure(settings.fleet_size, settings.broker_index)

    # --- sockets ---

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=self.udp)
        self.server = await asyncio.start_server(self._serve, sock=self.tcp, limit=MOST_FRAME)
        self.node.log(
            "members", f"listening on {self.terms.address}, known as {self.detector.me.address}"
        )
        self._look()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        now = self.node.clock.now()
        try:
            if f"{addr[0]}:{addr[1]}" in self.addresses:
                free = self.known.take(now, KNOWN + EACH * len(self.addresses))
            else:
                free = self.strangers.take(now, STRANGERS)
            if not free:
                self.flooded += 1
                return
            self.bytes["in"] += len(data)
            envelope = self.codec.read(data)
            self.detector.receive(now, envelope.to, envelope.count, envelope.me, envelope.body)
            if isinstance(envelope.body, Talk) and envelope.to == self.detector.me.boot:
                heard = self.topics.get(envelope.body.topic)
                if heard is not None and envelope.me.id in self.detector.table:
                    heard(now, name_of(envelope.me.id), envelope.body.body)
        except Refused:
            return
        except Exception as error:  # no datagram may raise out of a callback
            self.node.log("members", f"a datagram: {type(error).__name__}: {error}")
        self._flush(now)

    def subscribe(self, topic: str, heard: Callable[[int, str, bytes], None]) -> None:
        """``heard``: now, the name of the sender, what it says; it may raise on nonsense."""
        self.topics[topic] = heard

    def talk(self, topic: str, name: str, body: bytes) -> None:
        """To a member by its name; what is too large for a datagram is a fault of the caller."""
        address, _, boot = name.rpartition("/")
        self.detector.out.append((Identity(address, bytes.fromhex(boot)), Talk(topic, body)))

    def names(self) -> tuple[str, ...]:
        """Of the members of the view, ourselves among them."""
        return tuple(name_of(id) for id in self.views.view.members)

    @property
    def name(self) -> str:
        return name_of(self.detector.me)

    def flush(self) -> None:
        """Send what `talk` was given."""
        self._flush(self.node.clock.now())

    def error_received(self, exc: Exception) -> None:
        pass  # the network's word that nobody is there is no more than a lost datagram

    def _flush(self, now: int) -> None:
        detector = self.detector
        out, detector.out = detector.out, []
        for to, message in out:
            peer = detector.table.get(to)
            data = self.codec.write(to, detector.own(), message, 1 if peer is None else peer.speaks)
            self.bytes["out"] += len(data)
            try:
                if self.transport is not None:
                    self.transport.sendto(data, address_of(to.address))
            except (OSError, ValueError, RuntimeError) as error:
                self.node.log("members", f"{to.address[:60]}: {error}")
        syncs, detector.syncs = detector.syncs, []
        for address in syncs[:2]:
            if len(self.syncing) < 2 and not self.closed:
                task = asyncio.get_running_loop().create_task(self._sync(address))
                self.syncing.add(task)
                task.add_done_callback(self.syncing.discard)
        changes, detector.changes = detector.changes, []
        if changes:
            for change in changes:
                if change.status is Status.LEFT:
                    self.views.left()
                if change.status is not Status.SUSPECT:
                    self.node.log("members", f"{change.id.address}: {change.why}")
            self._look_at_view(now)

    # --- the whole table, over TCP ---

    async def _read_frame(self, reader: asyncio.StreamReader) -> Sync:
        size = int.from_bytes(await reader.readexactly(4), "big")
        if size > MOST_FRAME:
            raise Refused("oversized")
        data = await reader.readexactly(size)
        self.bytes["in"] += size
        envelope = self.codec.read(data, MOST_FRAME)
        if not isinstance(envelope.body, Sync):
            raise Refused("unknown")
        self.detector.merge(self.node.clock.now(), envelope.me)
        return envelope.body

    def _write_frame(self, writer: asyncio.StreamWriter, sync: Sync) -> None:
        data = self.codec.write(Identity("", b""), self.detector.own(), sync)
        self.bytes["out"] += len(data)
        writer.write(len(data).to_bytes(4, "big") + data)

    def _whole(self, ask: bool, claims: bool) -> Sync:
        return Sync(self.detector.digest(), ask, self.detector.told() if claims else ())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.serving >= MOST_SYNCS or self.closed:
            writer.transport.abort()
            return
        self.serving += 1
        try:
            await asyncio.wait_for(self._answer(reader, writer), SYNC_TIME)
        except (OSError, EOFError, TimeoutError, Refused):
            pass
        except Exception as error:  # no peer may end the process
            self.node.log("members", f"a table: {type(error).__name__}: {error}")
        finally:
            self.serving -= 1
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked = await self._read_frame(reader)
        differs = asked.digest != self.detector.digest()
        self._write_frame(writer, self._whole(False, differs))
        await writer.drain()
        if differs:
            self._take_table(await self._read_frame(reader))

    async def _sync(self, address: str) -> None:
        try:
            async with asyncio.timeout(SYNC_TIME):
                reader, writer = await asyncio.open_connection(
                    *address_of(address), limit=MOST_FRAME
                )
                try:
                    self._write_frame(writer, self._whole(True, False))
                    theirs = await self._read_frame(reader)
                    if theirs.claims:
                        self._write_frame(writer, self._whole(False, True))
                        await writer.drain()
                        self._take_table(theirs)
                finally:
                    writer.close()
        except (OSError, EOFError, TimeoutError, ValueError, Refused) as error:
            self.node.log("members", f"no table from {address[:60]}: {type(error).__name__}")
        except Exception as error:  # no peer may end the process
            self.node.log(
                "members", f"no table from {address[:60]}: {type(error).__name__}: {error}"
            )

    def _take_table(self, theirs: Sync) -> None:
        now = self.node.clock.now()
        self.detector.merge_table(now, theirs.claims)
        self._flush(now)

    # --- time ---

    def _look(self) -> None:
        if self.closed:
            return
        now = self.node.clock.now()
        late, self.due = max(0, now - self.due), now + self.terms.interval // PARTS
        self.node.dispatcher.wheel.at(self.due, self._look)
        try:
            self.detector.tick(now, late)
            self._flush(now)
            if now - self.looked >= self.terms.interval:
                self._look_at_view(now)
        except Exception as error:  # a fault here must not end the wheel's turn
            self.node.log("fault", f"members: {type(error).__name__}: {error}")

    def _look_at_view(self, now: int) -> None:
        self.looked = now
        detector, cold = self.detector, self.node.config.settings.contract.warmup_ns
        there = [(p.place, p.id) for p in detector.table.values() if p.there()]
        if not detector.left:
            there.append((detector.place, detector.me))
        engines = self.node.dispatcher.endpoint_table.by_number.values()
        unsettled = any(
            detector.deadline(id) - now < self.terms.interval for id in detector.suspicions
        )
        self.addresses = {id.address for _, id in there}
        self.views.look(
            now,
            there,
            detector.me,
            detector.left or detector.health.isolated(len(there) - 1),
            detector.joined,
            any(
                k.target.state is EndpointState.READY and k.target.started_ns + cold > now
                for k in engines
            ),
            unsettled,
        )

    # --- what the rest of the program reads ---

    def members(self) -> tuple[Identity, ...]:
        return self.views.view.members

    def alive(self, address: str) -> bool:
        return any(id.address == address for id in self.views.view.members)

    @property
    def size(self) -> tuple[int, bool]:
        """What limits are divided by, and whether it is certain."""
        return self.views.view.told, self.views.view.certain

    def adjust(self, settings: Settings) -> Settings:
        """The size and the place that the module goes by."""
        view = self.views.view
        return replace(settings, fleet_size=view.told, broker_index=view.place)

    def _changed(self, view: View, came: tuple[Identity, ...], went: tuple[Identity, ...]) -> None:
        def named(word: str, ids: tuple[Identity, ...]) -> str:
            more = f" and {len(ids) - MOST_LINES} more" if len(ids) > MOST_LINES else ""
            return f", {word} {', '.join(i.address for i in ids[:MOST_LINES])}{more}" if ids else ""

        self.node.log(
            "members",
            f"view {view.epoch} ({view.digest.hex()}): {view.alive} there, {view.why}; "
            f"limits by {view.told}, place {view.place}{named('came', came)}"
            f"{named('went', went)}",
        )
        self.told(view)

    # --- the end ---

    def leave(self) -> None:
        """By our own word: at SIGTERM, or when an operator asks."""
        now = self.node.clock.now()
        self.detector.leave(now)
        self._flush(now)
        self._look_at_view(now)

    def stop(self) -> None:
        self.closed = True
        for task in list(self.syncing):
            task.cancel()
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()

    # --- operators ---

    def call(self, method: str, path: str) -> tuple[int, bytes, str, str] | None:
        if path not in ("/members", "/members/keys", "/members/leave"):
            return None
        wanted = "POST" if path == "/members/leave" else "GET"
        if method != wanted:
            return (
                405,
                json.dumps({"error": f"this call is a {wanted}"}).encode() + b"\n",
                JSON,
                wanted,
            )
        if path == "/members/leave":
            self.leave()
            said: dict[str, Any] = {"left": self.detector.me.address}
        elif path == "/members/keys":
            said = {
                "signs": self.codec.ring.keys[0][0],
                "reads": [id for id, _ in self.codec.ring.keys],
                "taken_in": {str(k): n for k, n in self.codec.by_key.items()},
                "dropped": self.codec.dropped,
            }
        else:
            said = self.status()
        return 200, json.dumps(said).encode() + b"\n", JSON, ""

    def status(self) -> dict[str, Any]:
        now, view, detector = self.node.clock.now(), self.views.view, self.detector
        bound = bounds(self.terms, detector.size)

        def ago(at: int) -> float | None:
            return round((now - at) / S, 2) if at else None

        return {
            "me": detector.me.address,
            "boot": detector.me.boot.hex(),
            "incarnation": detector.inc,
            "left": detector.left,
            "doubt": detector.health.score,
            "pauses": detector.health.pauses,
            "isolated": detector.health.isolated(len(detector.there())),
            "view": {
                "epoch": view.epoch,
                "digest": view.digest.hex(),
                "certain": view.certain,
                "why": view.why,
                "alive": view.alive,
                "reference": view.reference,
                "limits_by": view.told,
                "place": view.place,
                "configured": self.views.configured,
            },
            "bounds_s": {k: round(v, 2) for k, v in bound.items()},
            "members": [
                {
                    "address": p.id.address,
                    "boot": p.id.boot.hex(),
                    "incarnation": p.inc,
                    "status": p.status.name.lower(),
                    "for": ago(p.since),
                    "place": p.place,
                    "zone": p.zone,
                    "verdict": detector.verdict(p, now),
                    "heard": ago(p.heard),
                    "reached": ago(p.acked),
                    "through_others": ago(p.via),
                    "hears_us": ago(p.hears_us),
                    "by": p.by,
                    "round_trip_ms": round(p.trip.mean / 1e6, 2),
                    "helpers": {
                        h: {"reached": ok, "ago": ago(at)} for h, (ok, at) in p.rows.items()
                    },
                }
                for p in sorted(detector.table.values(), key=lambda p: (p.status, p.place, p.id))
            ],
            "figures": {
                **detector.figures,
                "bytes_in": self.bytes["in"],
                "bytes_out": self.bytes["out"],
                "flooded": self.flooded,
                "dropped": self.codec.dropped,
            },
        }

    def figures(self) -> bytes:
        detector, view = self.detector, self.views.view
        counts = {s: sum(p.status is s for p in detector.table.values()) for s in list(Status)[:4]}
        lines = [
            "# HELP edge_proxy_members Other members by what they are held to be.",
            "# TYPE edge_proxy_members gauge",
            *(f'edge_proxy_members{{status="{s.name.lower()}"}} {n}' for s, n in counts.items()),
        ]
        values = {
            **detector.figures,
            "view_epoch": view.epoch,
            "view_certain": int(view.certain),
            "view_limits_by": view.told,
            "doubt": detector.health.score,
            "flooded": self.flooded,
            "bytes_in": self.bytes["in"],
            "bytes_out": self.bytes["out"],
        }
        for key, help in HELP.items():
            kind = "gauge" if key in GAUGES else "counter"
            name = f"edge_proxy_members_{key}{'' if key in GAUGES else '_total'}"
            lines += [
                f"# HELP {name} {help}",
                f"# TYPE {name} {kind}",
                f"{name} {values.get(key, 0)}",
            ]
        lines += [
            "# HELP edge_proxy_members_dropped_total Datagrams that changed nothing, by why.",
            "# TYPE edge_proxy_members_dropped_total counter",
            *(
                f'edge_proxy_members_dropped_total{{why="{w}"}} {n}'
                for w, n in self.codec.dropped.items()
            ),
        ]
        return ("\n".join(lines) + "\n").encode()
