"""A stand-in for the fabric: spreads callers' packets over hosts and routes answers.

Callers exchange bare IPv4 packets with it over UDP; hosts exchange packets in Generic
UDP Encapsulation. The packets of targets are spread over the hosts in the same way, as
an anycast route would deliver them to any host without a change of source address.
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
    """Spreads packets at random over a list of host tunnels.

    Parameters
    ----------
    gateway : Endpoint
        Address of the socket towards hosts.
    access : Endpoint
        Address of the socket towards callers.
    rng : random.Random
        Chooses the host of each packet.
    """

    def __init__(self, gateway: Endpoint, access: Endpoint, rng: random.Random) -> None:
        self.rng = rng
        self.gateway = bind_udp(gateway)
        self.access = bind_udp(access)
        #: Tunnel endpoints of the hosts over which packets are spread.
        self.hosts: list[Endpoint] = []
        #: Address of the caller of each flow; entries stay until the end of a run.
        self.callers: dict[FlowKey, Endpoint] = {}

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward packets until cancelled."""
        with closing(self):
            async with anyio.create_task_group() as group:
                group.start_soon(receive_forever, self.access, self.receive_from_caller)
                group.start_soon(receive_forever, self.gateway, self.receive_from_host)
                task_status.started()

    def close(self) -> None:
        """Close the sockets."""
        self.gateway.close()
        self.access.close()

    def pick_host(self) -> Endpoint | None:
        """Return the host for one packet."""
        return self.rng.choice(self.hosts) if self.hosts else None

    def receive_from_caller(self, inner: bytes, source: Source) -> None:
        """Forward a caller's packet to a random host."""
        try:
            flow = decode_packet(inner, from_caller=True).flow
        except MalformedPacketError as error:
            logger.warning("malformed packet from a caller", kind=error.message)
            return
        self.callers[flow] = Endpoint(*source)
        host = self.pick_host()
        if host is not None:
            send(self.gateway, encapsulate(inner), host)

    def receive_from_host(self, datagram: bytes, source: Source) -> None:
        """Forward an answer to its caller."""
        try:
            inner = decapsulate(datagram)
            flow = decode_packet(inner, from_caller=False).flow
        except MalformedPacketError as error:
            logger.warning("malformed packet from a host", kind=error.message)
            return
        caller = self.callers.get(flow)
        if caller is not None:
            send(self.access, inner, caller)
