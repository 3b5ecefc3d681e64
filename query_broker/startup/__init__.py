"""Paces the start of a broker in a fleet whose brokers may all start at once.

``stages``, ``pacing``, ``admission_ramp``, ``endpoint_snapshot``, ``bounds`` and ``status_report``
perform no I/O. ``service.StartupService`` connects them to the node, and is loaded only if the
operators' file holds the directive ``start``.
"""
