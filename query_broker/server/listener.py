"""The sockets that the broker listens on, and the descriptors that it may use."""

from __future__ import annotations

import resource
import socket

from ..config import Config, ConfigError

# Connections that the system queues until the loop accepts them: enough for all clients of a broker
# that come at once. The system cuts it to its own limit (somaxconn).
ACCEPT_BACKLOG = 1_024
# Keys of the settings, as a faulty one is named at the start.
CLIENT_KEY = "listen"
INHERITED_KEY = "PROXY_ACCEPT_FD"


class ListenerError(ConfigError):
    """A socket that cannot be listened on; the message names the key of its setting."""

    def __init__(self, key: str, reason: str) -> None:
        """Compose the one line that is printed."""
        super().__init__(f"{key}: {reason}")


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the soft limit of open descriptors, and return how many of ``wanted`` may be used.

    A system limit below the configured one would be met as EMFILE at some busy moment. So the soft
    limit is raised as far as the hard one allows, and that is what the broker plans with.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY:
        wanted = min(hard, wanted)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return wanted


def client_listener(config: Config) -> socket.socket:
    """Return the clients' socket: inherited from the platform, else bound by this process.

    Raises:
        ListenerError: It cannot be listened on.
    """
    if config.accept_fd is None:
        return bind_listener(CLIENT_KEY, config.host, config.port)
    return inherit_listener(config.accept_fd)


def bind_listener(key: str, host: str, port: int) -> socket.socket:
    """Bind a new socket to an IP address and a port.

    Connections of a killed process linger at its address; SO_REUSEADDR allows the next one to bind
    it at once all the same.

    Raises:
        ListenerError: The address cannot be bound; it names ``key``.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise ListenerError(key, f"{host}:{port}: {error}") from None
    return listener


def inherit_listener(descriptor: int) -> socket.socket:
    """Return the listening socket that the platform holds and passes to each process.

    To bind its address anew fails, since it is taken. To shut the socket down would end it for
    every process that has it, so only the copy of this process is ever closed.

    Raises:
        ListenerError: The descriptor is no listening socket.
    """
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ListenerError(INHERITED_KEY, f"descriptor {descriptor}: {error}") from None
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        reason = f"descriptor {descriptor} is no listening socket"
        raise ListenerError(INHERITED_KEY, reason)
    return listener
