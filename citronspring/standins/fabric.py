"""A stand-in for the fabric: sprays callers' packets over hosts, and routes answers.

Callers hand it bare IPv4 packets over UDP; hosts get and give them in Generic UDP
Encapsulation. Targets reach hosts through the same spray, as an anycast route
would bring their tunnel packets to any host with the source address kept.
"""

from __future__ import annotations

from contextlib import closing
from typing import TYPE_CHECKING

import anyio
import structlog

from citronspring.daemons.sockets import bind_udp, receive_forever, send
from citronspring.entities import Endpoint
from citronspring.errors import MalformedPacketError
from citronspring.packets import decapsulate, decode_packet, encapsulate

if TYPE_CHECKING:
    import random

    from anyio.abc import TaskStatus

    from citronspring.daemons.sockets import Source
    from citronspring.entities import FlowKey

logger = structlog.get_logger(__name__)


class Fabric:
    """Random spray over a list of host tunnels.

    Parameters
    ----------
    gateway : Endpoint
        Talks with hosts.
    access : Endpoint
        Talks with callers.
    rng : random.Random
        Picks the host of each packet.
    """

    def __init__(self, gateway: Endpoint, access: Endpoint, rng: random.Random) -> None:
        self.rng = rng
        self.gateway = bind_udp(gateway)
        self.access = bind_udp(access)
        #: Tunnels of the hosts that packets are sprayed over.
        self.hosts: list[Endpoint] = []
        #: Where the caller of each flow is; grows with the callers of one run.
        self.callers: dict[FlowKey, Endpoint] = {}

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Carry packets until cancelled."""
        with closing(self):
            async with anyio.create_task_group() as group:
                group.start_soon(receive_forever, self.access, self.from_caller)
                group.start_soon(receive_forever, self.gateway, self.from_host)
                task_status.started()

    def close(self) -> None:
        """Close the sockets."""
        self.gateway.close()
        self.access.close()

    def pick_host(self) -> Endpoint | None:
        """Return the host for one packet."""
        return self.rng.choice(self.hosts) if self.hosts else None

    def from_caller(self, inner: bytes, source: Source) -> None:
        """Spray a caller's packet."""
        try:
            flow = decode_packet(inner, from_caller=True).flow
        except MalformedPacketError as error:
            logger.warning("malformed packet from a caller", kind=error.message)
            return
        self.callers[flow] = Endpoint(*source)
        host = self.pick_host()
        if host is not None:
            send(self.gateway, encapsulate(inner), host)

    def from_host(self, datagram: bytes, source: Source) -> None:
        """Route an answer to its caller."""
        try:
            inner = decapsulate(datagram)
            flow = decode_packet(inner, from_caller=False).flow
        except MalformedPacketError as error:
            logger.warning("malformed packet from a host", kind=error.message)
            return
        caller = self.callers.get(flow)
        if caller is not None:
            send(self.access, inner, caller)
