"""A stand-in for a target: a tunnel endpoint, a small TCP stack and a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from citronspring.daemons.sockets import send
from citronspring.errors import MalformedPacketError
from citronspring.packets import decapsulate, decode_packet, encapsulate
from citronspring.standins.flow_endpoint import FlowEndpoint, encode, segment_of
from citronspring.standins.stacks import TargetStack

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from citronspring.daemons.sockets import Source
    from citronspring.entities import Endpoint, ServiceAddress
    from citronspring.messages import Packet
    from citronspring.standins.service import Request
    from citronspring.standins.stacks import Outgoing


class TargetServer(FlowEndpoint):
    """A target that accepts flows to its client account's addresses only.

    Parameters
    ----------
    tunnel : Endpoint
        Tunnel endpoint to which hosts send its packets.
    addresses : tuple of ServiceAddress
        Service addresses configured on its interface; packets to others are discarded.
    pick_host : callable
        Returns the host through which one answer packet is sent.
    rng : random.Random
        Source of initial sequence numbers.
    on_run : callable
        Called with each request that runs.
    """

    def __init__(
        self,
        tunnel: Endpoint,
        addresses: tuple[ServiceAddress, ...],
        pick_host: Callable[[], Endpoint | None],
        rng: random.Random,
        on_run: Callable[[Request], None],
    ) -> None:
        super().__init__(tunnel)
        self.ports = {(item.ip, item.port) for item in addresses}
        self.pick_host = pick_host
        self.stack = TargetStack(rng, on_run)
        #: Number of packets for a service address of another client account.
        self.foreign = 0

    def receive(self, datagram: bytes, source: Source) -> None:
        """Handle a packet from the tunnel."""
        try:
            packet = decode_packet(decapsulate(datagram), from_caller=True)
        except MalformedPacketError:
            return
        if not self.is_own_address(packet):
            self.foreign += 1
            return
        now = anyio.current_time()
        self.answer(self.stack.receive(packet.flow, segment_of(packet), now))

    def is_own_address(self, packet: Packet) -> bool:
        """Whether the packet is for one of the account's service addresses."""
        ip = ".".join(str(part) for part in packet.flow[1:5])
        return (ip, int.from_bytes(packet.flow[5:7], "big")) in self.ports

    def tick(self) -> None:
        """Run timers, and send what is due of streams."""
        self.answer(self.stack.tick(anyio.current_time()))

    def answer(self, outgoing: list[Outgoing]) -> None:
        """Send segments through the tunnel, each to a host from `pick_host`."""
        for item in outgoing:
            host = self.pick_host()
            if host is not None:
                send(self.sock, encapsulate(encode(item, from_caller=False)), host)
