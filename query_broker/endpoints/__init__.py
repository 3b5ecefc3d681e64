"""Endpoints: their table, connection pools and administrative state."""
