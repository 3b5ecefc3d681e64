"""Requests and their attempts, from a client's request through the decisions to an endpoint.

A request's way: `validation` checks it, `dispatcher` admits it to the `request_table` and lets the
decisions have it. They order an attempt, which `attempt_dispatch` hands to a connection pool;
`cancellation` checks at each hand-over whether it is still wanted. What its connection reports
comes to `connection_events`, the answer leaves for the client, and `attempt_outcomes` reports how
the attempt ended. `client_answers` carries out rejections and failures, `health_checks` the checks
that the decisions order. `observers` holds what other parts register.
"""
