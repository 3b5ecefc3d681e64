"""The endpoint snapshot, the last endpoint list as the text of a file. Performs no I/O.

The file has one head line, ``larchhall-list FORMAT CHECKSUM``, and one line of JSON. The checksum
has no key: it detects torn and altered files, not forged ones; only the broker can write to the
folder.
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

#: Fields of the head line: magic, format and checksum.
HEAD_FIELD_COUNT = 3

#: Largest part of a file that is read, in bytes: far more than the largest list takes.
MAX_FILE_BYTES = 16 << 20

#: Size of the checksum, in bytes.
CHECKSUM_BYTES = 16

#: A snapshot from further in the future shows that the clock has been set back.
MAX_CLOCK_SETBACK_NS = 5 * NS_PER_SECOND

#: Characters of a foreign installation's name that an error quotes.
MAX_QUOTED_CHARACTERS = 60


class EndpointSnapshotError(QueryBrokerError):
    """A file that is not used; the text ends a sentence that begins with its path."""


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
    return f"{MAGIC} {FORMAT_VERSION} {_checksum(body)}\n{body}\n"


def decode(text: str, installation: str, now_ns: int, max_age_ns: int) -> EndpointSnapshot:
    """Read the text of a file.

    Args:
        text: The content of the file.
        installation: Name of this installation.
        now_ns: Unix time in nanoseconds.
        max_age_ns: Age up to which a snapshot is used, in nanoseconds.

    Raises:
        EndpointSnapshotError: The file must not be used; its subclasses say why.
    """
    snapshot = _parse_body(_verified_body(text))
    if snapshot.installation != installation:
        found = repr(snapshot.installation[:MAX_QUOTED_CHARACTERS])
        raise UnusableSnapshotError("is of installation " + found)
    if snapshot.saved_at_ns > now_ns + MAX_CLOCK_SETBACK_NS:
        problem = "is from the future: the clock has been set back, its age is not known"
        raise UnusableSnapshotError(problem)
    age_ns = now_ns - snapshot.saved_at_ns
    if age_ns > max_age_ns:
        problem = f"is {age_ns / NS_PER_SECOND:.0f} s old"
        raise UnusableSnapshotError(problem)
    return snapshot


def _checksum(body: str) -> str:
    return hashlib.blake2b(body.encode(), digest_size=CHECKSUM_BYTES).hexdigest()


def _verified_body(text: str) -> str:
    """The JSON line of a file, once its head line and its checksum have been verified."""
    head, newline, rest = text.partition("\n")
    parts = head.split(" ")
    if len(parts) != HEAD_FIELD_COUNT or parts[0] != MAGIC or not parts[1].isdecimal():
        problem = "is no list of ours"
        raise MalformedSnapshotError(problem)
    _, version, written_checksum = parts
    if int(version) != FORMAT_VERSION:
        raise SnapshotVersionError(version)
    body = rest.removesuffix("\n")
    if not newline or body == rest or _checksum(body) != written_checksum:
        problem = "is torn or altered"
        raise MalformedSnapshotError(problem)
    return body


def _parse_body(body: str) -> EndpointSnapshot:
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
