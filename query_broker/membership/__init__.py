"""Group membership of the brokers of one installation.

A SWIM failure detector with the Lifeguard extensions decides which brokers are present. The
modules of the protocol perform no I/O: they take messages and the time, and return messages and
changes. `service.py` connects them to sockets, files and the node; `datagrams.py`,
`table_exchange.py`, `listeners.py` and `key_files.py` do parts of that work for it. Nothing but
`settings.py` is loaded unless the operators' file holds the directive `members`.
"""
