"""Cells: partitions of the fleet that isolate tenants from the faults and overload of others.

The pure core performs no I/O and takes the time from the caller, in integer nanoseconds: the cell
map (`model`), the placement of endpoints (`placement`), migrations of tenants (`migrations`,
`migration_log`, `migration_steps`), quotas that cells borrow from each other (`borrowing`), their
shares of the event loop's time (`fair_turns`), the tenants' rates of work (`work_rates`) and the
planner (`planner`, `solver`).

The other modules are the runtime, which is loaded only if the operators' file names cells: `router`
and its parts extend the decisions, `dispatcher` the dispatch of requests and `node` the server.
"""
