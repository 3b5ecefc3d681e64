"""The sockets that the broker listens on, and the descriptors that it may use."""

from __future__ import annotations

import resource
import socket

from ..config import Config, ConfigError

# Length of the accept queue: enough for all clients of a broker that connect at once. The system
# reduces it to its own limit (somaxconn).
ACCEPT_BACKLOG = 1_024
# Settings keys that the message of a `ListenerError` names.
CLIENT_ADDRESS_KEY = "listen"
INHERITED_SOCKET_KEY = "PROXY_ACCEPT_FD"


class ListenerError(ConfigError):
    """A listening socket cannot be opened; the message names the key of its setting."""

    def __init__(self, key: str, reason: str) -> None:
        """Compose the one-line message from the key and the reason."""
        super().__init__(f"{key}: {reason}")


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the soft limit of open descriptors, and return how many of ``wanted`` may be used.

    A system limit below the configured one would cause EMFILE errors under load. The soft limit is
    therefore raised as far as the hard limit allows, and the broker's limits are based on that.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY:
        wanted = min(hard, wanted)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return wanted


def client_listener(config: Config) -> socket.socket:
    """Return the clients' socket: inherited from the platform, or else bound by this process.

    Raises:
        ListenerError: The socket cannot be opened.
    """
    if config.accept_fd is None:
        return bind_listener(CLIENT_ADDRESS_KEY, config.host, config.port)
    return inherit_listener(config.accept_fd)


def bind_listener(key: str, host: str, port: int) -> socket.socket:
    """Bind a new socket to an IP address and a port.

    Connections of a killed process stay in TIME_WAIT at its address; with SO_REUSEADDR the next
    process can bind the address at once.

    Raises:
        ListenerError: The address cannot be bound; the message names ``key``.
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

    The address is in use, so this process cannot bind it again. A shutdown of the socket would end
    it for all processes that share it, so this process only ever closes its own descriptor.

    Raises:
        ListenerError: The descriptor is not a listening socket.
    """
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ListenerError(INHERITED_SOCKET_KEY, f"descriptor {descriptor}: {error}") from None
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        reason = f"descriptor {descriptor} is not a listening socket"
        raise ListenerError(INHERITED_SOCKET_KEY, reason)
    return listener
