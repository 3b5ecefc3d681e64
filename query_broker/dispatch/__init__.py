"""Requests and their attempts, from a client's request through the decisions to an endpoint.

The path of a request: `validation` checks it, `dispatcher` admits it to the `request_table` and
reports it to the decisions. They order an attempt, which `attempt_dispatch` hands to a connection
pool; `cancellation` checks at each hand-over whether it is still wanted. Its connection reports to
`connection_events`, the answer is written to the client, and `attempt_outcomes` reports how the
attempt ended. `client_answers` carries out rejections and failures, `health_checks` the checks that
the decisions order. `observers` holds what other parts register.
"""
