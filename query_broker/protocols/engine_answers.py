"""Handles a data engine's answers on one connection: assembles pages and reports results."""

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
    """Is notified of answers; ``load_text`` is the answer's load report, or empty."""

    def answer_completed(self, attempt: Attempt, load_text: str) -> None:
        """Called when an attempt's result is complete: ``attempt.pages`` holds every page."""

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, load_text: str) -> None:
        """Called when an attempt has ended without a result."""

    def progress_reported(self, attempt: Attempt, kind: ProgressKind, amount: float) -> None:
        """Called with a progress note of a running attempt."""

    def health_check_ended(self, tag: bytes, result: AttemptResult, load_text: str) -> None:
        """Called with the answer to a health check."""

    def late_answer_received(self, attempt: Attempt, load_text: str) -> None:
        """Called with the answer to an attempt whose end has already been reported."""


class CarriedElsewhere(Protocol):
    """Checks which request ids were recently sent to the same engine on other connections."""

    def __call__(self, request_id: bytes, /) -> bool:
        """Return whether another connection recently carried this request id."""


class InFlightState(Protocol):
    """The unanswered attempts of a connection, by request id, and its health checks, by tag."""

    in_flight: dict[bytes, Attempt]
    health_checks: set[bytes]


class EngineAnswers:
    """Matches answers to attempts and health checks, and assembles results of several pages.

    An attempt stays in ``in_flight`` until its last answer, even if no client waits for it any
    more.
    """

    def __init__(
        self,
        connection: InFlightState,
        observer: AnswerObserver,
        writer: EngineWriter,
        cancellations: EngineCancellations,
        carried_by_other_connection: CarriedElsewhere,
    ) -> None:
        """Connect the handler to the other parts of the connection.

        Args:
            connection: Its unanswered attempts and health checks.
            observer: Notified of answers.
            writer: Sends the commands that fetch or decline pages.
            cancellations: Notified of answers to attempts that are not in flight.
            carried_by_other_connection: Returns whether another connection recently carried a
                request id to the same engine.
        """
        self.connection = connection
        self.observer = observer
        self.writer = writer
        self.cancellations = cancellations
        self.carried_by_other_connection = carried_by_other_connection

    def handle(self, parts: list[bytes], now_ns: int) -> None:
        """Handle one answer, received at ``now_ns``.

        Raises:
            MalformedAnswerError: The answer violates the protocol, or answers no sent command.
        """
        answer = messages.read_answer(parts)
        tag = answer.tag
        kind = answer.kind
        if kind == messages.PROGRESS:
            self._handle_progress(answer)
            return
        fields = resp.read_pairs(answer.raw_fields)
        load_text = fields.get(messages.FIELD_LOAD_REPORT, "")
        if kind in messages.HEALTH_RESULTS:
            self._handle_health_answer(tag, messages.HEALTH_RESULTS[kind], load_text)
            return
        if kind not in messages.ATTEMPT_ANSWER_KINDS:
            reason = f"unknown kind of answer {kind[: messages.QUOTED_KIND_BYTES]!r}"
            raise resp.MalformedAnswerError(reason)
        attempt = self.connection.in_flight.get(tag)
        if attempt is None:
            # A repeated or unsolicited answer, or one that crossed the cancellation.
            self.cancellations.handle_unmatched_answer(tag)
        elif kind == messages.SERVED:
            self._handle_first_page(attempt, tag, fields, answer.body, now_ns)
        elif kind == messages.PAGE:
            self._handle_page(attempt, tag, fields, answer.body, now_ns)
        else:
            # With pages received, the engine has lost one of the others: the attempt may have run,
            # and the received pages are not a complete result.
            result = AttemptResult.ERROR if attempt.pages else messages.FAILURE_RESULTS[kind]
            self._end_attempt(tag, attempt, result, load_text)

    def _handle_health_answer(self, tag: bytes, result: AttemptResult, load_text: str) -> None:
        if tag in self.connection.health_checks:
            self.connection.health_checks.discard(tag)
            self.observer.health_check_ended(tag, result, load_text)

    def _handle_progress(self, answer: messages.EngineAnswer) -> None:
        """Handle a progress note.

        A malformed note is ignored, and so is the note of an attempt that has ended: the frame is
        complete, so the next answer can still be parsed.
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
            self.observer.progress_reported(attempt, kind, amount)

    def _handle_first_page(
        self, attempt: Attempt, tag: bytes, fields: dict[str, str], body: bytes, now_ns: int
    ) -> None:
        """Handle page 0, which states the number of pages, and fetch the others."""
        if attempt.pages:
            return  # repeated answer
        load_text = fields.get(messages.FIELD_LOAD_REPORT, "")
        page_count = messages.read_count(
            fields.get(messages.FIELD_PAGE_COUNT, "1"), messages.FIELD_PAGE_COUNT
        )
        messages.check_rows(body)
        if not attempt.is_wanted():
            # Answered elsewhere, timed out or abandoned: no further page is needed.
            if page_count > 1:
                self.writer.send_command(now_ns, messages.FORGET, tag)
            self._end_attempt(tag, attempt, AttemptResult.SERVED, load_text)
            return
        attempt.answered_ns = now_ns
        attempt.pages = [body, *([None] * (page_count - 1))]
        attempt.missing_pages = max(0, page_count - 1)
        if attempt.missing_pages == 0:
            del self.connection.in_flight[tag]
            self.observer.answer_completed(attempt, load_text)
        elif self.writer.is_stopped:  # no page can be requested
            attempt.pages = []
            self._end_attempt(tag, attempt, AttemptResult.CANCELLED, load_text)
        elif self.carried_by_other_connection(tag):
            self._fail_mixed_pages(tag, attempt, load_text, now_ns)
        else:
            for number in range(1, page_count):
                self.writer.send_command(now_ns, messages.FETCH_PAGE, tag, b"%d" % number)

    def _handle_page(
        self, attempt: Attempt, tag: bytes, fields: dict[str, str], body: bytes, now_ns: int
    ) -> None:
        load_text = fields.get(messages.FIELD_LOAD_REPORT, "")
        number = messages.read_count(
            fields.get(messages.FIELD_PAGE_NUMBER, ""), messages.FIELD_PAGE_NUMBER
        )
        if not attempt.pages or not 0 < number < len(attempt.pages):
            if not attempt.reported:
                reason = f"page {number} was not requested"
                raise resp.MalformedAnswerError(reason)
            return
        messages.check_rows(body)
        if not attempt.is_wanted():
            self.writer.send_command(now_ns, messages.FORGET, tag)
            self._end_attempt(tag, attempt, AttemptResult.SERVED, load_text)
            return
        _add_page(attempt, number, body)
        if attempt.missing_pages:
            return
        if self.carried_by_other_connection(tag):
            self._fail_mixed_pages(tag, attempt, load_text, now_ns)
            return
        del self.connection.in_flight[tag]
        self.writer.send_command(now_ns, messages.FORGET, tag)
        self.observer.answer_completed(attempt, load_text)

    def _fail_mixed_pages(self, tag: bytes, attempt: Attempt, load_text: str, now_ns: int) -> None:
        """Fail an attempt whose pages may belong to another query.

        The engine is running, or has run, another query under the same request id, and it
        identifies pages by this id alone, so a page may belong to either query.
        """
        self.writer.send_command(now_ns, messages.FORGET, tag)
        attempt.pages = []
        self._end_attempt(tag, attempt, AttemptResult.ERROR, load_text)

    def _end_attempt(
        self, tag: bytes, attempt: Attempt, result: AttemptResult, load_text: str
    ) -> None:
        del self.connection.in_flight[tag]
        if attempt.reported:
            self.observer.late_answer_received(attempt, load_text)
        else:
            self.observer.attempt_ended(attempt, result, load_text)


def _add_page(attempt: Attempt, number: int, body: bytes) -> None:
    """Add a page to a result; a repeated page is ignored."""
    if attempt.pages[number] is None:
        attempt.pages[number] = body
        attempt.missing_pages -= 1
    size_bytes = sum(len(page) for page in attempt.pages if page is not None)
    if size_bytes > messages.MAX_RESULT_BYTES:
        reason = "result is larger than an answer to a client can be"
        raise resp.MalformedAnswerError(reason)
