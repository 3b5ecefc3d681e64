"""The answers of a data engine on one connection: pages are assembled, the rest is reported."""

from __future__ import annotations

import math
from typing import Protocol

from ..decisions.facade import AttemptResult, ProgressKind
from ..dispatch.requests import Attempt
from . import engine_messages as messages
from . import resp
from .engine_cancellations import EngineCancellations
from .engine_writer import EngineWriter


class AnswerObserver(Protocol):
    """Is notified of answers; ``load_text`` is an answer's load report, empty if it has none."""

    def answer_completed(self, attempt: Attempt, load_text: str) -> None:
        """Called with an attempt's complete result: every page is in ``attempt.pages``."""

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, load_text: str) -> None:
        """Called when an attempt has ended without a result."""

    def progress_noted(self, attempt: Attempt, kind: ProgressKind, amount: float) -> None:
        """Called with a progress note of a running attempt."""

    def health_check_ended(self, tag: bytes, result: AttemptResult, load_text: str) -> None:
        """Called with the answer to a health check."""

    def late_answer_received(self, attempt: Attempt, load_text: str) -> None:
        """Called with the answer to an attempt whose end had been reported before."""


class CarriedElsewhere(Protocol):
    """Knows what has lately gone to the same engine on other connections."""

    def __call__(self, request_id: bytes, /) -> bool:
        """Return whether the request id has gone there too."""


class OpenOnConnection(Protocol):
    """What is open on a connection: attempts by request id, health checks by tag."""

    in_flight: dict[bytes, Attempt]
    health_checks: set[bytes]


class EngineAnswers:
    """Assigns each answer to what it answers, and assembles results of several pages.

    An attempt leaves ``in_flight`` with its last answer, also where no client waits for it any
    more.
    """

    def __init__(
        self,
        connection: OpenOnConnection,
        observer: AnswerObserver,
        writer: EngineWriter,
        cancellations: EngineCancellations,
        carried_elsewhere: CarriedElsewhere,
    ) -> None:
        """Take the connection's other parts.

        Args:
            connection: What is open.
            observer: Notified of answers.
            writer: Sends the commands that fetch or decline pages.
            cancellations: Notified of answers to attempts that are not in flight.
            carried_elsewhere: Returns whether another connection has lately carried a request id
                to the same engine.
        """
        self.connection = connection
        self.observer = observer
        self.writer = writer
        self.cancellations = cancellations
        self.carried_elsewhere = carried_elsewhere

    def take(self, parts: list[bytes], now_ns: int) -> None:
        """Take one answer, which has come at ``now_ns``.

        Raises:
            MalformedAnswerError: It is no answer of the protocol, or none to what was sent.
        """
        answer = messages.read_answer(parts)
        tag = answer.tag
        kind = answer.kind
        if kind == messages.PROGRESS:
            self._take_progress(answer)
            return
        fields = resp.read_pairs(answer.raw_fields)
        load_text = fields.get(messages.FIELD_LOAD_REPORT, "")
        if kind in messages.HEALTH_RESULTS:
            self._take_health(tag, messages.HEALTH_RESULTS[kind], load_text)
            return
        if kind not in messages.ATTEMPT_ANSWER_KINDS:
            reason = f"unknown word {kind[: messages.QUOTED_KIND_BYTES]!r}"
            raise resp.MalformedAnswerError(reason)
        attempt = self.connection.in_flight.get(tag)
        if attempt is None:
            # A repeated or unsolicited answer, which belongs to nothing that is open here, or one
            # that crossed the cancellation.
            self.cancellations.answered(tag)
        elif kind == messages.SERVED:
            self._take_first_page(attempt, tag, fields, answer.body, now_ns)
        elif kind == messages.PAGE:
            self._take_page(attempt, tag, fields, answer.body, now_ns)
        else:
            # Also where the engine has lost a page: the attempt may have run, and the pages that
            # have come are no complete result.
            result = AttemptResult.ERROR if attempt.pages else messages.FAILURE_RESULTS[kind]
            self._conclude(tag, attempt, result, load_text)

    def _take_health(self, tag: bytes, result: AttemptResult, load_text: str) -> None:
        if tag in self.connection.health_checks:
            self.connection.health_checks.discard(tag)
            self.observer.health_check_ended(tag, result, load_text)

    def _take_progress(self, answer: messages.EngineAnswer) -> None:
        """Take a progress note.

        One that can't be read is ignored, like that of an attempt which has ended: its frame is
        complete, so that the next answer can be read.
        """
        attempt = self.connection.in_flight.get(answer.tag)
        if attempt is None or attempt.reported:
            return
        try:
            fields = resp.read_pairs(answer.raw_fields)
            amount = float(fields.get(messages.FIELD_PROGRESS_AMOUNT, "0"))
        except (resp.MalformedAnswerError, ValueError):
            return
        kind = messages.PROGRESS_KINDS.get(fields.get(messages.FIELD_PROGRESS_KIND, ""))
        if kind is not None and math.isfinite(amount):
            self.observer.progress_noted(attempt, kind, amount)

    def _take_first_page(
        self, attempt: Attempt, tag: bytes, fields: dict[str, str], body: bytes, now_ns: int
    ) -> None:
        """Take page 0, which holds the number of pages, and fetch the others."""
        if attempt.pages:
            return  # a repeated answer
        load_text = fields.get(messages.FIELD_LOAD_REPORT, "")
        page_count = messages.read_count(
            fields.get(messages.FIELD_PAGE_COUNT, "1"), messages.FIELD_PAGE_COUNT
        )
        messages.check_rows(body)
        if not attempt.is_wanted():
            # Answered elsewhere, timed out, or abandoned: no further page is wanted.
            if page_count > 1:
                self.writer.send_command(now_ns, messages.FORGET, tag)
            self._conclude(tag, attempt, AttemptResult.SERVED, load_text)
            return
        attempt.answered_ns = now_ns
        attempt.pages = [body, *([None] * (page_count - 1))]
        attempt.missing_pages = max(0, page_count - 1)
        if attempt.missing_pages == 0:
            del self.connection.in_flight[tag]
            self.observer.answer_completed(attempt, load_text)
        elif self.carried_elsewhere(tag):
            self._give_up_mixed_pages(tag, attempt, load_text, now_ns)
        else:
            for number in range(1, page_count):
                self.writer.send_command(now_ns, messages.FETCH_PAGE, tag, b"%d" % number)

    def _take_page(
        self, attempt: Attempt, tag: bytes, fields: dict[str, str], body: bytes, now_ns: int
    ) -> None:
        load_text = fields.get(messages.FIELD_LOAD_REPORT, "")
        number = messages.read_count(
            fields.get(messages.FIELD_PAGE_NUMBER, ""), messages.FIELD_PAGE_NUMBER
        )
        if not attempt.pages or not 0 < number < len(attempt.pages):
            if not attempt.reported:
                reason = f"page {number} was not asked for"
                raise resp.MalformedAnswerError(reason)
            return
        messages.check_rows(body)
        if not attempt.is_wanted():
            self.writer.send_command(now_ns, messages.FORGET, tag)
            self._conclude(tag, attempt, AttemptResult.SERVED, load_text)
            return
        _add_page(attempt, number, body)
        if attempt.missing_pages:
            return
        if self.carried_elsewhere(tag):
            self._give_up_mixed_pages(tag, attempt, load_text, now_ns)
            return
        del self.connection.in_flight[tag]
        self.writer.send_command(now_ns, messages.FORGET, tag)
        self.observer.answer_completed(attempt, load_text)

    def _give_up_mixed_pages(
        self, tag: bytes, attempt: Attempt, load_text: str, now_ns: int
    ) -> None:
        """End an attempt whose pages may belong to another query.

        The engine runs, or has run, another query under the same id, and identifies pages by the
        id alone, so that a page may belong to either query.
        """
        self.writer.send_command(now_ns, messages.FORGET, tag)
        attempt.pages = []
        self._conclude(tag, attempt, AttemptResult.ERROR, load_text)

    def _conclude(
        self, tag: bytes, attempt: Attempt, result: AttemptResult, load_text: str
    ) -> None:
        del self.connection.in_flight[tag]
        if attempt.reported:
            self.observer.late_answer_received(attempt, load_text)
        else:
            self.observer.attempt_ended(attempt, result, load_text)


def _add_page(attempt: Attempt, number: int, body: bytes) -> None:
    """Add a page to a result; a page that is there already is kept as it is."""
    if attempt.pages[number] is None:
        attempt.pages[number] = body
        attempt.missing_pages -= 1
    size_bytes = sum(len(page) for page in attempt.pages if page is not None)
    if size_bytes > messages.MAX_RESULT_BYTES:
        reason = "a result larger than an answer can hold"
        raise resp.MalformedAnswerError(reason)
