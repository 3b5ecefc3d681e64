"""What is kept in memory: open requests, attempts, the engine table, connection pools and the
wheel.
"""
