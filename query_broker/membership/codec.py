"""Datagrams and frames of members: sealed with a keyed hash, bounded, and new each time. Pure.

A strange, torn, altered, replayed or foreign one costs one hash at the most and changes nothing.

    "lm" | protocol | key id | keyed BLAKE2b of all else, 16 bytes | envelope, MessagePack
"""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from .messages import Claim, Envelope, Identity, Message

MAGIC = b"lm"
PROTOCOL = 1
HEAD = 4
MAC = 16
MOST_DATAGRAM = 1_400
MOST_FRAME = 1 << 20  # over TCP
WINDOW = 256  # messages of one sender that may overtake each other
MOST_WINDOWS = 8_192
LEAST_KEY, MOST_KEY = 16, 64  # bytes


class BadKeys(ValueError):
    """A line that says what is wrong."""


class Refused(Exception):
    """Why a datagram is not taken in: one word, for the counts."""


@dataclass(frozen=True, slots=True)
class KeyRing:
    """All are good for reading, the first one signs: a new key is added last everywhere, then moved
    to the front everywhere, and then the old one is taken away.
    """

    keys: tuple[tuple[int, bytes], ...]

    def sign(self, head: bytes, body: bytes) -> bytes:
        return seal(self.keys[0][1], head, body)

    def of(self, number: int) -> bytes | None:
        return next((key for id, key in self.keys if id == number), None)


def seal(key: bytes, head: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(
        head + body, key=key, digest_size=MAC, person=b"larchhall-peers"
    ).digest()


def read_keys(text: str) -> KeyRing:
    """Lines `ID HEX`; those that are empty or begin with # are passed over."""
    keys: list[tuple[int, bytes]] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        parts = line.split()
        try:
            id, key = int(parts[0]), bytes.fromhex(parts[1])
        except (ValueError, IndexError):
            raise BadKeys(f"line {number}: is no `ID HEX`") from None
        if len(parts) != 2 or not 0 <= id <= 255 or not LEAST_KEY <= len(key) <= MOST_KEY:
            raise BadKeys(
                f"line {number}: needs an id of 0 to 255 and a key of {LEAST_KEY} to {MOST_KEY} "
                "bytes"
            )
        if id in [i for i, _ in keys]:
            raise BadKeys(f"line {number}: id {id} is used twice")
        keys.append((id, key))
    if not keys:
        raise BadKeys("holds no key")
    return KeyRing(tuple(keys))


@dataclass(slots=True)
class Window:
    """Which of one sender's counts have come: a bit for each of the last ones."""

    highest: int = -1
    bits: int = 0

    def new(self, count: int) -> bool:
        if count > self.highest:
            ahead = count - self.highest
            self.bits = ((self.bits << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.highest = count
            return True
        behind = self.highest - count
        if behind >= WINDOW or self.bits >> behind & 1:
            return False
        self.bits |= 1 << behind
        return True


@dataclass(slots=True)
class Codec:
    """``dropped``: by word, ``by_key``: taken in, by key id."""

    installation: str
    ring: KeyRing
    protocol: int = PROTOCOL
    count: int = 0
    windows: OrderedDict[Identity, Window] = field(default_factory=OrderedDict)
    dropped: dict[str, int] = field(default_factory=dict)
    by_key: dict[int, int] = field(default_factory=dict)
    encoder: msgspec.msgpack.Encoder = field(default_factory=msgspec.msgpack.Encoder)
    decoder: msgspec.msgpack.Decoder[Envelope] = field(
        default_factory=lambda: msgspec.msgpack.Decoder(Envelope)
    )

    def write(self, to: Identity, own: Claim, message: Message, speaks: int = PROTOCOL) -> bytes:
        """``speaks``: the newest protocol that the receiver knows; the older of the two is
        spoken.
        """
        self.count += 1
        body = self.encoder.encode(Envelope(self.installation, to.boot, self.count, own, message))
        head = MAGIC + bytes((min(self.protocol, max(1, speaks)), self.ring.keys[0][0]))
        return head + self.ring.sign(head, body) + body

    def read(self, data: bytes, most: int = MOST_DATAGRAM, once: bool = True) -> Envelope:
        """`Refused` for all that is not a new message of a member of this installation."""
        try:
            return self._read(data, most, once)
        except Refused as why:
            self.dropped[str(why)] = self.dropped.get(str(why), 0) + 1
            raise

    def _read(self, data: bytes, most: int, once: bool) -> Envelope:
        if len(data) > most:
            raise Refused("oversized")
        if len(data) < HEAD + MAC or data[:2] != MAGIC:
            raise Refused("foreign")
        if not 1 <= data[2] <= self.protocol:
            raise Refused("protocol")
        head, mac, body = data[:HEAD], data[HEAD : HEAD + MAC], data[HEAD + MAC :]
        key = self.ring.of(data[3])
        if key is None:
            raise Refused("key")
        if not hmac.compare_digest(seal(key, head, body), mac):
            raise Refused("forged")
        try:
            envelope = self.decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            # a kind of a later version, or nonsense with a good key
            raise Refused("unknown") from None
        if envelope.installation != self.installation:
            raise Refused("installation")
        if once and not self._window(envelope.me.id).new(envelope.count):
            raise Refused("replayed")
        self.by_key[data[3]] = self.by_key.get(data[3], 0) + 1
        return envelope

    def _window(self, id: Identity) -> Window:
        window = self.windows.get(id)
        if window is None:
            window = self.windows[id] = Window()
            if len(self.windows) > MOST_WINDOWS:
                self.windows.popitem(last=False)
        else:
            self.windows.move_to_end(id)
        return window


def peek_sender(data: bytes) -> str:
    """The address that a message gives as its sender's, unchecked: for stand-ins of links. Empty:
    none.
    """
    try:
        envelope: Envelope = msgspec.msgpack.Decoder(Envelope).decode(data[HEAD + MAC :])
        return envelope.me.id.address
    except msgspec.MsgspecError:
        return ""
