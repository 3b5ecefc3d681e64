"""A data engine as a process of its own, so that a case can stop it and let it go on (a hang).

It reads with one plain loop. What the machine holds of a connection's bytes before the process reads
again is taken from the system (FIONREAD), so that a request that had arrived whole while the process
hung is told from one whose last bytes came later. It writes one JSON object a line: each `do` with
the times of its first and last byte.
"""

from __future__ import annotations

import fcntl
import json
import selectors
import socket
import struct
import sys
import termios
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from stand import HOST, RespReader, encode  # noqa: E402

RECEIVE_BUFFER_BYTES = 65_536
HANG_S = 0.5


def tell(**fields: object) -> None:
    print(json.dumps(fields), flush=True)


def waiting_bytes(peer: socket.socket) -> int:
    return int(struct.unpack("i", fcntl.ioctl(peer, termios.FIONREAD, b"\0" * 4))[0])


class Connection:
    """One connection of a broker.

    `read`: bytes read so far; `arrived_in_hang`: bytes of the stream, from its beginning, that the
    machine had when the process went on after a hang.
    """

    def __init__(self, peer: socket.socket) -> None:
        self.peer = peer
        self.parser = RespReader()
        self.read = 0
        self.arrived_in_hang = 0
        self.first_ns = 0


class Engine:
    def __init__(self, run_s: float) -> None:
        self.run_s = run_s
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.listener.bind((HOST, 0))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ, None)
        self.due: list[tuple[float, Connection, bytes]] = []
        self.connections: list[Connection] = []

    def serve(self) -> None:
        tell(event="listening", port=self.listener.getsockname()[1])
        turn_s = time.monotonic()
        while True:
            timeout_s = 0.05
            if self.due:
                timeout_s = min(timeout_s, max(0.0, min(self.due)[0] - time.monotonic()))
            ready = self.selector.select(timeout_s)
            now_s = time.monotonic()
            if now_s - turn_s > HANG_S:
                # The process had been stopped; nothing has been read since.
                tell(event="awake", after_s=round(now_s - turn_s, 2), at_ns=time.time_ns())
                self.accept()
                for connection in self.connections:
                    held = waiting_bytes(connection.peer)
                    connection.arrived_in_hang = connection.read + held
                    tell(event="held", bytes=held)
            turn_s = now_s
            for key, _ in ready:
                if key.data is None:
                    self.accept()
                else:
                    self.receive(key.data)
            self.end_runs(now_s)

    def accept(self) -> None:
        while True:
            try:
                peer, _ = self.listener.accept()
            except BlockingIOError:
                return
            peer.setblocking(True)
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(peer)
            self.connections.append(connection)
            self.selector.register(peer, selectors.EVENT_READ, connection)

    def receive(self, connection: Connection) -> None:
        try:
            data = connection.peer.recv(65_536)
        except ConnectionError:
            data = b""
        now_ns = time.time_ns()
        if not data:
            self.selector.unregister(connection.peer)
            self.connections.remove(connection)
            cut = len(connection.parser.buffer)
            if cut:
                tell(event="cut", bytes=cut, at_ns=now_ns)
            connection.peer.close()
            return
        if not connection.parser.buffer:
            connection.first_ns = now_ns
        connection.read += len(data)
        for parts in connection.parser.feed(data):
            end = connection.read - len(connection.parser.buffer)
            in_hang = end <= connection.arrived_in_hang
            self.handle(connection, parts, now_ns, in_hang)
            connection.first_ns = now_ns

    def handle(
        self, connection: Connection, parts: list[bytes], now_ns: int, in_hang: bool
    ) -> None:
        name, tag = parts[0], parts[1]
        if name == b"do":
            tell(
                event="do",
                id=tag.decode(),
                fields=parts[2].decode(),
                size=len(parts[3]),
                first_ns=connection.first_ns,
                whole_ns=now_ns,
                whole_while_it_hung=in_hang,
            )
            self.due.append((time.monotonic() + self.run_s, connection, tag))
        elif name == b"undo":
            tell(event="undo", id=tag.decode(), at_ns=now_ns)
            self.due = [run for run in self.due if run[2] != tag]
        elif name in (b"top", b"ping"):
            self.answer(connection, encode(tag, b"green", b"meter=queue:0;inflight:0", b""))

    def end_runs(self, now_s: float) -> None:
        ended = [run for run in self.due if run[0] <= now_s]
        self.due = [run for run in self.due if run[0] > now_s]
        for _, connection, tag in ended:
            tell(event="ran", id=tag.decode(), at_ns=time.time_ns())
            fields = b"chunks=1,spent=%d,wanted=8" % (self.run_s * 1_000)
            self.answer(connection, encode(tag, b"served", fields, b"%b\ta\tb\n" % tag))

    def answer(self, connection: Connection, data: bytes) -> None:
        try:
            connection.peer.sendall(data)
        except OSError:
            tell(event="nobody to answer")


if __name__ == "__main__":
    Engine(float(sys.argv[1])).serve()
