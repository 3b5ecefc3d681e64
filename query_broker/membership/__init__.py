"""Group membership of the brokers of one installation.

A SWIM failure detector with the Lifeguard extensions decides which brokers are present. The
modules of the protocol perform no I/O: they take messages and the time, and return messages and
status changes. `service.py` connects them to sockets, files and the node with the help of
`datagrams.py`, `table_exchange.py`, `listeners.py` and `key_files.py`. Only `settings.py` is loaded
unless the operators' file contains the directive `members`.
"""
