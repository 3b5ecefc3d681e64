"""Requests and their attempts, from a client's request through the decisions to an endpoint."""
