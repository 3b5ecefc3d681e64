"""Harnesses and events that several tests of the decisions use."""

from __future__ import annotations

from query_broker import decisions as api

from ..support.helpers import Harness, entry, make_settings, query_class


def change_list(harness: Harness, *entries: api.EndpointEntry) -> None:
    """Report changed entries of the endpoint list."""
    harness.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, entries))


def non_idempotent_harness(*entries: api.EndpointEntry) -> Harness:
    """Return a harness with one request class, which is not idempotent."""
    return Harness(make_settings(query_class(effect=api.Effect.NON_IDEMPOTENT)), *entries)


def one_endpoint_harness(**changes: object) -> Harness:
    """Return a harness with one endpoint."""
    return Harness(make_settings(**changes), entry(1))
