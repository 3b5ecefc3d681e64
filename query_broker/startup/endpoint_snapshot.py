"""The endpoint snapshot, the last endpoint list as the text of a file. Performs no I/O.

The file has one head line, ``larchhall-list FORMAT SUM``, and one line of JSON. The sum has no key:
it finds torn and altered files, not forged ones; the file lies where only the broker writes.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from ..errors import QueryBrokerError
from .settings import NS_PER_SECOND

FORMAT_VERSION = 1
MAGIC = "larchhall-list"

#: Bytes that are read of a file: far more than the largest list takes.
MAX_BYTES = 16 << 20

#: Size of the sum, in bytes.
SUM_BYTES = 16

#: A snapshot from further in the future shows that the clock has been set back.
MAX_AHEAD_NS = 5 * NS_PER_SECOND

#: Characters of a foreign installation's name that an error quotes.
MAX_QUOTED_CHARACTERS = 60


class EndpointSnapshotError(QueryBrokerError):
    """Why a file is not used, as the end of a sentence that begins with its path."""


class MalformedSnapshotError(EndpointSnapshotError):
    """The text is no snapshot, or was torn or altered."""


class SnapshotVersionError(EndpointSnapshotError):
    """The snapshot has the format of another version of this program."""

    def __init__(self, version: str) -> None:
        """Name the version that was found."""
        super().__init__(f"has format {version}, this program reads {FORMAT_VERSION}")


class UnusableSnapshotError(EndpointSnapshotError):
    """The snapshot is of another installation, or of another time."""


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The endpoint list at one moment.

    Attributes:
        installation: Name of the installation that it belongs to.
        offset: Number of the last watch event that it includes.
        saved_at_ns: When it was saved, in Unix nanoseconds.
        targets: The endpoints, as the discovery service writes them.
    """

    installation: str
    offset: int
    saved_at_ns: int
    targets: tuple[dict[str, Any], ...]

    def event(self) -> dict[str, Any]:
        """Return the list as the discovery service would send it."""
        return {
            "offset": self.offset,
            "topology": {"rev": self.offset, "all": True, "targets": list(self.targets)},
        }


def encode(snapshot: EndpointSnapshot) -> str:
    """Return the text of the file."""
    fields = {
        "installation": snapshot.installation,
        "offset": snapshot.offset,
        "saved_at": snapshot.saved_at_ns,
        "targets": snapshot.targets,
    }
    body = json.dumps(fields, separators=(",", ":"))
    return f"{MAGIC} {FORMAT_VERSION} {_sum(body)}\n{body}\n"


def decode(text: str, installation: str, now: int, most_age: int) -> EndpointSnapshot:
    """Read the text of a file.

    Args:
        text: The content of the file.
        installation: Name of this installation.
        now: Unix time in nanoseconds.
        most_age: Age up to which a snapshot is used, in nanoseconds.

    Raises:
        EndpointSnapshotError: The file is not to be used; says why in a few words.
    """
    snapshot = _snapshot(_body(text))
    if snapshot.installation != installation:
        found = repr(snapshot.installation[:MAX_QUOTED_CHARACTERS])
        raise UnusableSnapshotError("is of installation " + found)
    if snapshot.saved_at_ns > now + MAX_AHEAD_NS:
        problem = "is from the future: the clock has been set back, its age is not known"
        raise UnusableSnapshotError(problem)
    age_ns = now - snapshot.saved_at_ns
    if age_ns > most_age:
        problem = f"is {age_ns / NS_PER_SECOND:.0f} s old"
        raise UnusableSnapshotError(problem)
    return snapshot


def _sum(body: str) -> str:
    return hashlib.blake2b(body.encode(), digest_size=SUM_BYTES).hexdigest()


def _body(text: str) -> str:
    """The JSON line of a file, once its head line and its sum have been checked."""
    head, newline, rest = text.partition("\n")
    parts = head.split(" ")
    if len(parts) != 3 or parts[0] != MAGIC or not parts[1].isdecimal():
        problem = "is no list of ours"
        raise MalformedSnapshotError(problem)
    _, version, written_sum = parts
    if int(version) != FORMAT_VERSION:
        raise SnapshotVersionError(version)
    body = rest.removesuffix("\n")
    if not newline or body == rest or _sum(body) != written_sum:
        problem = "is torn or altered"
        raise MalformedSnapshotError(problem)
    return body


def _snapshot(body: str) -> EndpointSnapshot:
    try:
        raw = json.loads(body)
        return EndpointSnapshot(
            str(raw["installation"]),
            int(raw["offset"]),
            int(raw["saved_at"]),
            tuple(dict(target) for target in raw["targets"]),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        problem = f"holds no list: {type(error).__name__}"
        raise MalformedSnapshotError(problem) from None
