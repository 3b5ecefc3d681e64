"""The other processes of this broker, beside us during an upgrade: known by files in the shared
folder.
"""

from __future__ import annotations

import fcntl
import hashlib
import json
import os
import zlib
from pathlib import Path
from typing import Any

from ..decisions.facade import OutstandingWork
from ..endpoints.administrative_state import AdministrativeState
from .host import Host

PERIOD = 100_000_000  # ns between two looks; news for the other process is due within a second
MOST_FILE = 1 << 20  # bytes


class PeerProcesses:
    """Each process holds a lock for as long as it lives and tells of itself in the file beside it.
    Danger: what a killed process left must not count: a file without a held lock is removed
    unread.
    """

    def __init__(self, node: Host, folder: str) -> None:
        self.node, self.folder = node, Path(folder)
        broker = hashlib.blake2b(node.config.name.encode(), digest_size=6).hexdigest()
        self.prefix = f"larchhall-{broker}-"
        # Danger: in containers of their own, two processes may have one pid.
        self.mine = f"{self.prefix}{os.getpid()}-{os.urandom(4).hex()}"
        self.accepting = True
        self.others: dict[str, dict[str, Any]] = {}  # what each living one last told
        self.lock: int | None = None
        self.told = -1  # descriptor of the file that we tell in
        self.length = 0  # of the longest text told so far

    # --- ours ---

    def start(self) -> None:
        """Before the first client: what the others know holds for us too."""
        try:
            # Danger: a lock that can be seen before it is held looks like one of a dead process.
            early = self.folder / f".{self.mine}"
            self.lock = os.open(early, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.told = os.open(
                self.folder / f"{self.mine}.json", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600
            )
            os.rename(early, self.folder / f"{self.mine}.lock")
        except OSError as error:
            self.node.log("upgrade", f"no file in {self.folder}: {error}")
        self.poll()
        self.tell()

    def stop(self) -> None:
        if self.lock is not None:
            self._remove(self.mine)
            os.close(self.lock)
            self.lock = None
            if self.told >= 0:
                os.close(self.told)
                self.told = -1

    def tell(self) -> None:
        """Danger: a file replaced by rename is written through to the disk first, 80 to 400 ms in
        which the loop stood still, ten times a second. It is written over in place; half of it is
        known by its sum.
        """
        if self.lock is None or self.told < 0:
            return
        broker, now = self.node.dispatcher, self.node.clock.now()
        # Danger: one that has no engine list yet would take the queue and could serve none of it.
        said = {
            "accepting": self.accepting and self.node.endpoint_list_known,
            "clients": len(self.node.clients),
            "words": {uid: list(word) for uid, word in broker.administrative_states.states.items()},
            "out": {str(n): list(o) for n, o in broker.facade.outstanding(now).items()},
            **self.node.tells(),
        }
        try:
            text = json.dumps({**said, "sum": checksum(said)}).encode()
            self.length = max(self.length, len(text))
            os.pwrite(self.told, text.ljust(self.length), 0)
        except OSError as error:
            self.node.log("upgrade", f"nothing told to the other process: {error}")

    # --- theirs ---

    def successor(self) -> bool:
        """Another process takes what comes from now on."""
        return any(other["accepting"] for other in self.others.values())

    def look(self) -> None:
        self.node.dispatcher.wheel.at(self.node.clock.now() + PERIOD, self.look)
        self.poll()
        if self.others:
            self.tell()

    def poll(self) -> None:
        """Read what the others tell, and take it in."""
        before = self.others
        try:
            names = [
                n.removesuffix(".lock")
                for n in os.listdir(self.folder)
                if n.startswith(self.prefix) and n.endswith(".lock") and n != f"{self.mine}.lock"
            ]
        except OSError as error:
            self.node.log("upgrade", f"{self.folder}: {error}")
            return
        self.others = {}
        for name in names:
            if self._lives(name):
                self.others[name] = self._read(name) or before.get(name) or said_by({})
            else:
                self._remove(name)
        if not before and not self.others:
            return
        for other in self.others.values():
            for uid, word in other["words"].items():
                self.node.dispatcher.apply_administrative_state(uid, word)
        self.node.share(self.others.values())
        if before.keys() != self.others.keys():
            self.node.log("upgrade", f"{len(self.others)} other processes of this broker")

    def _lives(self, name: str) -> bool:
        try:
            lock = os.open(self.folder / f"{name}.lock", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(lock)
        return False

    def _read(self, name: str) -> dict[str, Any] | None:
        try:
            with open(self.folder / f"{name}.json", encoding="utf-8") as file:
                raw = json.loads(file.read(MOST_FILE))
            # One of an earlier version replaces its file whole, and gives no sum.
            return said_by(raw) if raw.pop("sum", None) in (None, checksum(raw)) else None
        except (OSError, ValueError, TypeError, AttributeError, RecursionError):
            return None  # not there yet, or nothing that one of us wrote

    def _remove(self, name: str) -> None:
        for end in (".json", ".lock"):
            try:
                os.unlink(self.folder / f"{name}{end}")
            except OSError:
                pass


def checksum(said: dict[str, Any]) -> int:
    return zlib.crc32(json.dumps(said).encode())


def said_by(raw: dict[str, Any]) -> dict[str, Any]:
    """A process's file, checked; of an empty one, a process that has said nothing yet."""
    return {
        "accepting": bool(raw.get("accepting", False)),
        "clients": int(raw.get("clients", 0)),
        "words": {
            str(uid): AdministrativeState(int(at), bool(out))
            for uid, (at, out) in raw.get("words", {}).items()
        },
        "out": {int(n): OutstandingWork(*map(int, out)) for n, out in raw.get("out", {}).items()},
        "cells": raw.get("cells"),
    }
