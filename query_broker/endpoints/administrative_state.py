"""Which data engines the operators have taken out by hand."""

from __future__ import annotations

from typing import NamedTuple


class Word(NamedTuple):
    """The operators' last word on one engine, and when it was said."""

    at: int
    out: bool


class Bans:
    """By uid, since an engine may restart while it is out. Words have no count: out twice is back
    once.
    """

    def __init__(self) -> None:
        self.words: dict[str, Word] = {}

    def out(self, uid: str) -> bool:
        return (word := self.words.get(uid)) is not None and word.out

    def say(self, uid: str, word: Word) -> bool:
        """Take in a word; False if a later one is known, or the same."""
        if (known := self.words.get(uid)) is not None and known.at >= word.at:
            return False
        self.words[uid] = word
        return True

    def forget(self, before: int) -> None:
        """Danger: engines come under new uids for as long as we run: of those that are back, none
        is kept.
        """
        self.words = {uid: word for uid, word in self.words.items() if word.out or word.at > before}
