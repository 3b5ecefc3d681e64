"""Golden forms of what a broker stores on disk or gives its other process during an upgrade.

Every expected value is a literal. A change here breaks the upgrade from the version before, or
moves endpoints and tenants between brokers that must agree without talking: no rename may alter it.
"""
