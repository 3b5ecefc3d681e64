"""Codecs and connection classes of the protocols on the sockets."""
