"""Start and stop of a node: sockets, admission, ticks, reload, graceful shutdown and the log."""
