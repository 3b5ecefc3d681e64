"""Start and stop: boot, readiness, the drain after SIGTERM, and the log."""
