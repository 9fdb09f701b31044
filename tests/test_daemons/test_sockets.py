"""Batched sockets: datagrams dropped by the kernel are counted."""

from __future__ import annotations

import socket

from citronspring.daemons.sockets import bind_udp, kernel_drops
from citronspring.entities import Endpoint


def test_datagrams_dropped_at_a_full_buffer_are_counted():
    """A burst exceeds the socket's buffer while the process is busy.

    Only the kernel knows of the datagrams it dropped; without a count, callers'
    retransmissions would have no visible cause.
    """
    receiver = bind_udp(Endpoint("127.0.0.1", 0))
    receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with receiver, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        assert kernel_drops(receiver) == 0
        for _ in range(100):
            sender.sendto(bytes(1000), receiver.getsockname())
        assert 50 < kernel_drops(receiver) <= 100
