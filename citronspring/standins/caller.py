"""A stand-in for callers: sends requests and checks the answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from citronspring.daemons.sockets import send
from citronspring.errors import MalformedPacketError
from citronspring.packets import decode_packet
from citronspring.rendezvous import flow_key
from citronspring.standins.flow_endpoint import FlowEndpoint, encode, segment_of
from citronspring.standins.stacks import CallerStack

if TYPE_CHECKING:
    import random

    from citronspring.daemons.sockets import Source
    from citronspring.entities import Endpoint, FlowKey, ServiceAddress
    from citronspring.standins.service import CallerSession, Request
    from citronspring.standins.stacks import Outgoing

#: Source address of the callers' packets inside the tunnel (a documentation range).
CALLER_IP = "198.51.100.1"
FIRST_PORT = 1024


class Caller(FlowEndpoint):
    """Callers behind one socket to the fabric.

    Parameters
    ----------
    local : Endpoint
        Address of its own socket.
    access : Endpoint
        Address of the fabric's socket for callers.
    rng : random.Random
        Source of initial sequence numbers.
    """

    def __init__(self, local: Endpoint, access: Endpoint, rng: random.Random) -> None:
        super().__init__(local)
        self.access = access
        self.stack = CallerStack(rng)
        self.next_port = FIRST_PORT

    def open(self, address: ServiceAddress, request: Request) -> CallerSession:
        """Start a request on a new connection, and return its session."""
        flow = self.new_flow(address)
        self.send(self.stack.open(flow, request, anyio.current_time()))
        return self.stack.sessions[flow]

    def new_flow(self, address: ServiceAddress) -> FlowKey:
        """Return an unused flow to a service address."""
        port = self.next_port
        self.next_port += 1
        return flow_key(address.protocol, address.ip, address.port, CALLER_IP, port)

    def receive(self, inner: bytes, source: Source) -> None:
        """Handle a packet from the fabric."""
        try:
            packet = decode_packet(inner, from_caller=False)
        except MalformedPacketError:
            return
        now = anyio.current_time()
        self.send(self.stack.receive(packet.flow, segment_of(packet), now))

    def tick(self) -> None:
        """Run timers, and send what is due of paced bodies."""
        self.send(self.stack.tick(anyio.current_time()))

    def send(self, outgoing: list[Outgoing]) -> None:
        """Send segments to the fabric."""
        for item in outgoing:
            send(self.sock, encode(item, from_caller=True), self.access)
