"""Requests and their attempts, from a client's request through the decisions to an endpoint.

The path of a request: `validation` checks the request, and `dispatcher` adds it to the
`request_table` and reports its arrival to the decisions. The decisions order an attempt, which
`attempt_dispatch` hands to a connection pool. At each hand-over `cancellation` checks whether the
attempt should still go on. The connection reports events of the attempt to `connection_events`, the
answer is written to the client, and `attempt_outcomes` reports to the decisions how the attempt
ended. `client_answers` delivers rejections and failures, and `health_checks` sends the health
checks that the decisions order. Other packages register observers and policies in `observers`.
"""
