"""Codecs and connection classes of the protocols of clients, data engines and the admin API."""
