"""How a broker starts when hundreds start at once.

``stages``, ``pacing``, ``admission_ramp``, ``endpoint_snapshot``, ``bounds`` and ``status_report``
decide and compute; they perform no I/O. ``service.StartupService`` connects them to the node, and
is loaded only where the operators' file holds the directive ``start``.
"""
