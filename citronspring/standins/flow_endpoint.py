"""The base class of stand-in callers and targets: a UDP socket and timers."""

from __future__ import annotations

from contextlib import closing
from typing import TYPE_CHECKING

import anyio

from citronspring.daemons.sockets import bind_udp, receive_forever
from citronspring.packets import encode_tcp
from citronspring.standins.tcp import Segment

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from citronspring.daemons.sockets import Source
    from citronspring.entities import Endpoint
    from citronspring.messages import Packet
    from citronspring.standins.stacks import Outgoing

#: Seconds between two ticks of a stand-in's timers.
TICK = 0.02


class FlowEndpoint:
    """An endpoint of flows behind one UDP socket.

    Parameters
    ----------
    local : Endpoint
        Address of its socket.
    """

    def __init__(self, local: Endpoint) -> None:
        self.sock = bind_udp(local)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Exchange segments until cancelled."""
        with closing(self):
            async with anyio.create_task_group() as group:
                group.start_soon(receive_forever, self.sock, self.receive)
                group.start_soon(self.tick_forever)
                task_status.started()

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()

    async def tick_forever(self) -> None:
        """Call `tick` periodically."""
        while True:
            self.tick()
            await anyio.sleep(TICK)

    def receive(self, datagram: bytes, source: Source) -> None:
        """Handle a datagram."""
        raise NotImplementedError

    def tick(self) -> None:
        """Run timers, and send what is due."""
        raise NotImplementedError


def segment_of(packet: Packet) -> Segment:
    """Return the TCP segment inside a packet from the wire."""
    payload = packet.data[len(packet.data) - packet.payload_length :]
    return Segment(packet.flags, packet.seq, packet.ack, payload)


def encode(outgoing: Outgoing, from_caller: bool) -> bytes:
    """Return the IPv4 packet of a segment to send."""
    flow, segment = outgoing
    fields = (segment.flags, segment.seq, segment.ack, segment.payload)
    return encode_tcp(flow, from_caller, *fields)
