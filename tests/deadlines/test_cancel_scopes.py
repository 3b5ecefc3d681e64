"""The order in which scopes end, and the resending of cancellations."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from query_broker.deadlines import cancel_scopes as scopes
from query_broker.deadlines.cancel_scopes import (
    CancelAction,
    CancelOutcome,
    CancelScope,
    PendingCancels,
    ScopeKind,
)


class RequestTree(NamedTuple):
    """A request with an unsent attempt, and a sent attempt that has a page and a health check."""

    request: CancelScope
    unsent: CancelScope
    sent: CancelScope
    page: CancelScope
    health_check: CancelScope


@pytest.fixture
def tree() -> RequestTree:
    """A request whose scopes have not ended."""
    request = CancelScope(ScopeKind.REQUEST, "r")
    unsent = request.open_child(ScopeKind.ATTEMPT, 0)
    sent = request.open_child(ScopeKind.ATTEMPT, 1)
    sent.write_completed = True
    page = sent.open_child(ScopeKind.PAGE, "p")
    health_check = sent.open_child(ScopeKind.HEALTH_CHECK, "q")
    return RequestTree(request, unsent, sent, page, health_check)


@pytest.mark.parametrize(
    ("supported", "action"),
    [
        pytest.param(True, CancelAction.CANCEL, id="engines support cancellation"),
        pytest.param(False, CancelAction.LET_RUN, id="engines do not support cancellation"),
    ],
)
def test_ending_a_scope_ends_all_below_it_children_first_and_once(
    tree: RequestTree, supported: bool, action: CancelAction
) -> None:
    request = tree.request
    assert request.end(supported) == [
        (CancelAction.WITHDRAW, tree.unsent),
        (CancelAction.DISCARD_PAGES, tree.page),
        (CancelAction.LET_RUN, tree.health_check),
        (action, tree.sent),
        (CancelAction.END_REQUEST, request),
    ]
    assert request.end(supported) == []
    assert tree.sent.end(supported) == []
    late_attempt = request.open_child(ScopeKind.ATTEMPT, 2)
    assert late_attempt.ended
    assert late_attempt.end(True) == []


def test_a_closed_scope_is_not_ended_with_its_parent(tree: RequestTree) -> None:
    tree.sent.close()
    assert tree.page.ended
    assert tree.request.end(True) == [
        (CancelAction.WITHDRAW, tree.unsent),
        (CancelAction.END_REQUEST, tree.request),
    ]


def test_a_cancellation_is_resent_at_most_twice_and_resolved_by_silence_or_an_answer() -> None:
    cancels = PendingCancels()
    cancels.begin(b"a", 0)
    cancels.begin(b"b", 0)
    assert cancels.check(scopes.RESEND_INTERVAL_NS - 1) == ([], [])
    assert cancels.check(scopes.RESEND_INTERVAL_NS) == ([b"a", b"b"], [])
    assert cancels.resolve_by_answer(b"a") is CancelOutcome.ANSWERED
    assert cancels.resolve_by_answer(b"a") is None
    assert cancels.check(2 * scopes.RESEND_INTERVAL_NS) == ([b"b"], [])
    assert cancels.check(3 * scopes.RESEND_INTERVAL_NS) == ([], [])
    assert cancels.check(scopes.CONFIRMATION_DELAY_NS) == ([], [b"b"])
    assert cancels.clear() == 0
    cancels.begin(b"c", 0)
    assert cancels.clear() == 1
    assert not cancels.by_id
