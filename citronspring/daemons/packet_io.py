"""Packet I/O: turns datagrams into events of the core and actions into datagrams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from citronspring.daemons.sockets import bind_udp, kernel_drops, send
from citronspring.errors import MalformedPacketError
from citronspring.messages import (
    Drop,
    PacketReceived,
    Refuse,
    Relay,
    RelayReceived,
    SendToCaller,
    SendToTarget,
)
from citronspring.packets import (
    RelayFrame,
    build_refusal,
    decapsulate,
    decode_packet,
    decode_relay,
    encapsulate,
    encode_relay,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.application import Application
    from citronspring.balancer import Balancer
    from citronspring.daemons.sockets import Source
    from citronspring.entities import Endpoint
    from citronspring.messages import Action
    from citronspring.settings import Settings


class PacketIO:
    """Moves packets between the sockets and the decision core.

    Parameters
    ----------
    core : Balancer
        Decision core.
    application : Application
        Receives the ``packet-dropped`` and ``action`` events.
    settings : Settings
        Endpoints of the host's sockets and of the fabric.
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        core: Balancer,
        application: Application,
        settings: Settings,
        clock: Callable[[], float],
    ) -> None:
        self.core = core
        self.application = application
        self.clock = clock
        #: Time of the current batch; read once a batch instead of once a packet.
        self.now = clock()
        self.gateway = settings.fabric.gateway
        self.fabric_ips = {self.gateway.ip, *settings.fabric.sources}
        self.tunnel = bind_udp(settings.host.tunnel)
        self.relay = bind_udp(settings.host.relay)

    @classmethod
    def from_settings(
        cls,
        core: Balancer,
        application: Application,
        settings: Settings,
        clock: Callable[[], float],
    ) -> PacketIO:
        """Return an instance with the sockets that the settings give, bound."""
        return cls(core, application, settings, clock)

    def close(self) -> None:
        """Close the sockets."""
        self.tunnel.close()
        self.relay.close()

    def begin_batch(self) -> None:
        """Record the time at which the next batch of datagrams is handled."""
        self.now = self.clock()

    def receive_tunnelled(self, datagram: bytes, source: Source) -> None:
        """Handle a datagram from the fabric or from a target's tunnel."""
        from_fabric = source[0] in self.fabric_ips
        target_id = None
        if not from_fabric:
            target_id = self.core.tables.targets_by_ip.get(source[0])
            if target_id is None:
                self.drop("foreign-tunnel")
                return
        try:
            packet = decode_packet(decapsulate(datagram), from_fabric)
        except MalformedPacketError as error:
            self.drop(error.message)
            return
        event = PacketReceived(packet, target_id)
        self.perform(self.core.receive(event, self.now))

    def receive_relayed(self, datagram: bytes, source: Source) -> None:
        """Handle a datagram relayed by another host."""
        sender = self.peer_at(source)
        if sender is None:
            self.drop("foreign-relay")
            return
        try:
            frame = decode_relay(datagram)
        except MalformedPacketError as error:
            self.drop(error.message)
            return
        event = RelayReceived(
            frame.kind,
            sender,
            frame.flow,
            frame.packet,
            self.target_at(frame.source),
            self.target_at(frame.target),
        )
        self.perform(self.core.receive(event, self.now))

    def count_kernel_drops(self) -> None:
        """Count datagrams that the kernel dropped at a full receive buffer."""
        drops = kernel_drops(self.tunnel) + kernel_drops(self.relay)
        self.core.tables.counters["dropped.kernel"] = drops

    def peer_at(self, source: Source) -> str | None:
        """Return the host whose relay socket is the source of a datagram."""
        for host_id, row in self.core.tables.hosts.items():
            relay = row.host.relay
            if (relay.ip, relay.port) == source:
                return host_id
        return None

    def target_at(self, tunnel: Endpoint | None) -> str | None:
        """Return the target with a tunnel; an unknown one by its endpoint as text."""
        if tunnel is None:
            return None
        return self.core.tables.targets_by_ip.get(tunnel.ip, str(tunnel))

    def drop(self, kind: str) -> None:
        """Count a dropped datagram and emit ``packet-dropped``."""
        self.core.tables.counters[f"dropped.{kind}"] += 1
        self.application.emit("packet-dropped", kind)

    def perform(self, actions: list[Action]) -> None:
        """Execute actions of the core."""
        for action in actions:
            match action:
                case SendToTarget():
                    self.send_to_target(action.target_id, action.packet.data)
                case SendToCaller():
                    self.send_to_caller(action.packet.data)
                case Relay():
                    self.send_relay(action)
                case Refuse():
                    text = describe_refusal(action, self.clock())
                    self.send_to_caller(build_refusal(action.packet, text))
                case Drop():
                    self.drop(action.reason.value)
                case _:
                    self.application.emit("action", action)

    def send_to_target(self, target_id: str, inner: bytes) -> None:
        """Send an IP packet through a target's tunnel."""
        row = self.core.tables.targets.get(target_id)
        if row is not None:
            self.send_datagram(encapsulate(inner), row.target.tunnel)

    def send_to_caller(self, inner: bytes) -> None:
        """Send an IP packet to the fabric, which delivers it to the caller."""
        self.send_datagram(encapsulate(inner), self.gateway)

    def send_datagram(self, datagram: bytes, endpoint: Endpoint) -> None:
        """Send a datagram from the tunnel socket; count it if the kernel rejects it."""
        try:
            self.tunnel.sendto(datagram, (endpoint.ip, endpoint.port))
        except OSError:
            self.core.tables.counters["dropped.send"] += 1

    def send_relay(self, action: Relay) -> None:
        """Relay a packet or a flow binding to another host."""
        row = self.core.tables.hosts.get(action.host_id)
        if row is None:
            return
        frame = RelayFrame(
            action.kind,
            action.flow,
            action.packet,
            self.tunnel_of(action.source),
            self.tunnel_of(action.target_id),
        )
        if not send(self.relay, encode_relay(frame), row.host.relay):
            self.core.tables.counters["dropped.send"] += 1

    def tunnel_of(self, target_id: str | None) -> Endpoint | None:
        """Return the tunnel endpoint of a target, None if the target is unknown."""
        row = self.core.tables.targets.get(target_id) if target_id else None
        return None if row is None else row.target.tunnel


def describe_refusal(action: Refuse, now: float) -> str:
    """Return the text that a refused caller receives.

    The delay is rounded up: a caller that retries too early would be refused again.
    """
    wait = math.ceil(max(0.0, action.retry_at - now) * 10) / 10
    return f"{action.reason.value}; retry after {wait:.1f} s"
