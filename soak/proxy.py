"""A loopback proxy that can delay, block or reset its connections."""

from __future__ import annotations

import socket
import struct
import threading
import time
from contextlib import suppress
from enum import Enum

#: Most bytes forwarded at once, and an interval of mode checks in seconds (not used).
CHUNK = 65536
MODE_CHECK_INTERVAL = 0.05

#: Delay of each chunk in mode `DELAY`, seconds.
DELAY = 0.3


class Mode(Enum):
    """What a proxy does with its connections."""

    PASS = "pass"
    DELAY = "delay"
    #: Forward nothing, and close nothing.
    SILENT = "silent"
    #: Forward requests, but no answers.
    ONE_WAY = "one-way"
    RESET = "reset"


class Proxy:
    """Forwards connections to one port on loopback."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.mode = Mode.PASS
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.sockets: list[socket.socket] = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                return
            self.sockets += [client, server]
            for source, sink, answers in (
                (client, server, False),
                (server, client, True),
            ):
                pump = (source, sink, answers)
                threading.Thread(target=self.pump, args=pump, daemon=True).start()

    def pump(self, source: socket.socket, sink: socket.socket, answers: bool) -> None:
        """Forward bytes in one direction, as the mode allows."""
        try:
            while data := source.recv(CHUNK):
                if self.mode is Mode.DELAY:
                    time.sleep(DELAY)
                # Nothing may follow a chunk that was not forwarded, as the stream would
                # have a gap; so this direction of the connection carries no more.
                if self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and answers):
                    return
                sink.sendall(data)
        except OSError:
            pass
        finally:
            if self.mode in (Mode.PASS, Mode.DELAY):
                close(sink)

    def set_mode(self, mode: Mode) -> None:
        """Set the mode; `RESET` closes the open connections and returns to `PASS`."""
        self.mode = mode
        if mode is Mode.RESET:
            sockets, self.sockets = self.sockets, []
            for sock in sockets:
                reset(sock)
            self.mode = Mode.PASS

    def stop(self) -> None:
        """Close everything."""
        close(self.listener)
        for sock in self.sockets:
            close(sock)


def reset(sock: socket.socket) -> None:
    """Close a socket with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        return
    close(sock)


def close(sock: socket.socket) -> None:
    """Close a socket that another thread may be reading."""
    # The socket may never have been connected, or be closed by the other side.
    with suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
