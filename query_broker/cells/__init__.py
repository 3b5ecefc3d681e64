"""Cells: parts of the fleet that keep the faults and floods of their tenants to themselves.

The pure core performs no I/O and takes the time from the caller, in integer nanoseconds: the map
(`model`), the seats of endpoints (`placement`), migrations of tenants (`migrations`,
`migration_log`, `migration_steps`), what cells borrow from each other (`borrowing`), their turns on
the event loop (`fair_turns`), the rates of work (`work_rates`) and the planner (`planner`,
`solver`).

The other modules are the runtime, which is loaded only where the operators' file names cells:
`router` and what it is made of before the decisions, `dispatcher` before the dispatch of requests,
`node` before the server.
"""
