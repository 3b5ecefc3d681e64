"""Operators' words on engines, in an order that survives partitions. Pure.

A word has a version, one more than the last that its broker knew, and names the word that it
replaces. The higher version holds; of two of the same version, or of which neither knew the other,
the later by version, then `out` before the others, then the greater address: every broker comes to
the same, in whatever order it hears them. The one that lost is kept, so that whoever said it is
shown that it did not hold.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

VALUES = ("out", "back", "pinned")  # pinned: no shared verdict holds it out
MOST_WORDS = 4_096


class Word(msgspec.Struct, array_like=True, frozen=True):
    """``before``: version and address of the word that it replaced."""

    uid: str
    value: str
    version: int
    by: str
    before: tuple[int, str] = (0, "")

    def rank(self) -> tuple[int, bool, str]:
        return self.version, self.value == "out", self.by


class Words(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """``digest``: of all that the sender knows, so that who knows something else answers with
    it.
    """

    digest: bytes
    words: tuple[Word, ...]
    answer: bool = False


class Wordbook:
    def __init__(self, me: str) -> None:
        self.me = me
        self.words: dict[str, Word] = {}
        self.lost: dict[str, Word] = {}  # by uid: the last that did not hold
        self.news: dict[str, int] = {}  # how often each is still told on

    def digest(self) -> bytes:
        told = hashlib.blake2b(digest_size=8)
        for uid in sorted(self.words):
            word = self.words[uid]
            told.update(f"{uid}\0{word.value}\0{word.version}\0{word.by}\0".encode())
        return told.digest()

    def say(self, uid: str, value: str, retold: int) -> Word:
        """An operator says it here."""
        before = self.words.get(uid)
        word = Word(
            uid,
            value,
            1 + (before.version if before is not None else 0),
            self.me,
            (before.version, before.by) if before is not None else (0, ""),
        )
        self.words[uid], self.news[uid] = word, retold
        return word

    def hear(self, words: Iterable[Word], retold: int) -> list[Word]:
        """Those that hold from now on and did not before."""
        taken = []
        for word in words:
            known = self.words.get(word.uid)
            if (
                known == word
                or word.value not in VALUES
                or word.version < 1
                or known is None
                and len(self.words) >= MOST_WORDS
            ):
                continue
            if known is not None and word.rank() <= known.rank():
                if known.before != (word.version, word.by) and known.version - word.version < 2:
                    self.lost[word.uid] = word
                continue
            if (
                known is not None
                and word.before != (known.version, known.by)
                and word.version - known.version < 2
            ):
                self.lost[word.uid] = known
            self.words[word.uid], self.news[word.uid] = word, retold
            taken.append(word)
        return taken

    def told(self, most: int) -> tuple[Word, ...]:
        """News for one telling."""
        picked = sorted(self.news, key=lambda uid: -self.news[uid])[:most]
        for uid in picked:
            self.news[uid] -= 1
            if self.news[uid] <= 0:
                del self.news[uid]
        return tuple(self.words[uid] for uid in picked)
