"""What ends with a request, in which order, and when a cancel is said again."""

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
    """A request with an attempt that has not left, and one that has, with a page and a check."""

    request: CancelScope
    unsent: CancelScope
    sent: CancelScope
    page: CancelScope
    health_check: CancelScope


@pytest.fixture
def tree() -> RequestTree:
    """None of its scopes has ended."""
    request = CancelScope(ScopeKind.REQUEST, "r")
    unsent = request.open_child(ScopeKind.ATTEMPT, 0)
    sent = request.open_child(ScopeKind.ATTEMPT, 1)
    sent.write_started = True
    page = sent.open_child(ScopeKind.PAGE, "p")
    health_check = sent.open_child(ScopeKind.HEALTH_CHECK, "q")
    return RequestTree(request, unsent, sent, page, health_check)


@pytest.mark.parametrize(
    ("honoured", "action"),
    [
        pytest.param(True, CancelAction.CANCEL, id="engines honour cancels"),
        pytest.param(False, CancelAction.LET_RUN, id="engines honour no cancel"),
    ],
)
def test_ending_a_scope_ends_all_below_it_children_first_and_once(
    tree: RequestTree, honoured: bool, action: CancelAction
) -> None:
    request = tree.request
    assert request.end(honoured) == [
        (CancelAction.WITHDRAW, tree.unsent),
        (CancelAction.DISCARD_PAGES, tree.page),
        (CancelAction.LET_RUN, tree.health_check),
        (action, tree.sent),
        (CancelAction.END_REQUEST, request),
    ]
    assert request.end(honoured) == []
    assert tree.sent.end(honoured) == []
    late = request.open_child(ScopeKind.ATTEMPT, 2)
    assert late.ended
    assert late.end(True) == []


def test_a_scope_that_is_over_by_itself_is_not_ended_with_the_rest(tree: RequestTree) -> None:
    tree.sent.close()
    assert tree.page.ended
    assert tree.request.end(True) == [
        (CancelAction.WITHDRAW, tree.unsent),
        (CancelAction.END_REQUEST, tree.request),
    ]


def test_a_cancel_is_said_again_within_bounds_and_ends_by_silence_or_answer() -> None:
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
