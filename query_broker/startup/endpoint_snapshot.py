"""The last list of engines as a file's text: known by its sum, refused where it is not ours. Pure.

One head line, `larchhall-list FORMAT SUM`, and one of JSON. The sum is keyed by nothing: it finds
torn and altered files, not forged ones; the file lies where only the broker writes.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import Any

FORMAT = 1
MAGIC = "larchhall-list"
MOST = 16 << 20  # bytes
S = 1_000_000_000
AHEAD = 5 * S  # a list from so far in the future: the clock has been set back


class BadList(Exception):
    """Why a file is not acted on."""


@dataclass(frozen=True, slots=True)
class LastList:
    installation: str
    offset: int
    saved_at: int  # Unix nanoseconds
    targets: tuple[dict[str, Any], ...]

    def event(self) -> dict[str, Any]:
        """As the bus would tell it."""
        return {
            "offset": self.offset,
            "topology": {"rev": self.offset, "all": True, "targets": list(self.targets)},
        }


def _sum(body: str) -> str:
    return hashlib.blake2b(body.encode(), digest_size=16).hexdigest()


def encode(kept: LastList) -> str:
    body = json.dumps(
        {
            "installation": kept.installation,
            "offset": kept.offset,
            "saved_at": kept.saved_at,
            "targets": kept.targets,
        },
        separators=(",", ":"),
    )
    return f"{MAGIC} {FORMAT} {_sum(body)}\n{body}\n"


def decode(text: str, installation: str, now: int, most_age: int) -> LastList:
    """BadList says in a few words why it is not acted on."""
    head, newline, rest = text.partition("\n")
    parts = head.split(" ")
    if len(parts) != 3 or parts[0] != MAGIC or not parts[1].isdecimal():
        raise BadList("is no list of ours")
    if int(parts[1]) != FORMAT:
        raise BadList(f"has format {parts[1]}, this program reads {FORMAT}")
    body = rest.removesuffix("\n")
    if not newline or body == rest or _sum(body) != parts[2]:
        raise BadList("is torn or altered")
    try:
        raw = json.loads(body)
        kept = LastList(
            str(raw["installation"]),
            int(raw["offset"]),
            int(raw["saved_at"]),
            tuple(dict(t) for t in raw["targets"]),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise BadList(f"holds no list: {type(error).__name__}") from None
    if kept.installation != installation:
        raise BadList(f"is of installation {kept.installation[:60]!r}")
    if kept.saved_at > now + AHEAD:
        raise BadList("is from the future: the clock has been set back, its age is not known")
    if now - kept.saved_at > most_age:
        raise BadList(f"is {(now - kept.saved_at) / S:.0f} s old")
    return kept
