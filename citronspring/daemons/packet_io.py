"""The carrier: datagrams to events of the core, and actions to datagrams."""

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
    """Moves packets between the sockets and the core.

    Parameters
    ----------
    core : Balancer
        Decides.
    application : Application
        Gets ``packet-dropped`` and ``action`` events.
    settings : Settings
        Names sockets and the fabric.
    clock : callable
        Returns seconds that never go back.
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
        #: Time of the current batch: read once, not for each packet.
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
        """Bind the sockets that the settings name."""
        return cls(core, application, settings, clock)

    def close(self) -> None:
        """Close the sockets."""
        self.tunnel.close()
        self.relay.close()

    def begin_batch(self) -> None:
        """Take the time for the datagrams that have arrived."""
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
        """Handle a datagram from another host."""
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
        """Count datagrams that arrived faster than this process read them."""
        drops = kernel_drops(self.tunnel) + kernel_drops(self.relay)
        self.core.tables.counters["dropped.kernel"] = drops

    def peer_at(self, source: Source) -> str | None:
        """Return the host whose relay socket a datagram came from."""
        for host_id, row in self.core.tables.hosts.items():
            relay = row.host.relay
            if (relay.ip, relay.port) == source:
                return host_id
        return None

    def target_at(self, tunnel: Endpoint | None) -> str | None:
        """Return the target with a tunnel; an unknown one stays foreign."""
        if tunnel is None:
            return None
        return self.core.tables.targets_by_ip.get(tunnel.ip, str(tunnel))

    def drop(self, kind: str) -> None:
        """Count a datagram that goes nowhere."""
        self.core.tables.counters[f"dropped.{kind}"] += 1
        self.application.emit("packet-dropped", kind)

    def perform(self, actions: list[Action]) -> None:
        """Do what the core asks for."""
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
        """Hand an IP packet to the fabric."""
        self.send_datagram(encapsulate(inner), self.gateway)

    def send_datagram(self, datagram: bytes, endpoint: Endpoint) -> None:
        """Send from the tunnel socket, and count what the kernel does not take."""
        try:
            self.tunnel.sendto(datagram, (endpoint.ip, endpoint.port))
        except OSError:
            self.core.tables.counters["dropped.send"] += 1

    def send_relay(self, action: Relay) -> None:
        """Hand a packet or binding to another host."""
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
        """Return a target's tunnel."""
        row = self.core.tables.targets.get(target_id) if target_id else None
        return None if row is None else row.target.tunnel


def describe_refusal(action: Refuse, now: float) -> str:
    """Return what a refused caller is told.

    Rounded down, the time would have the caller refused again.
    """
    wait = math.ceil(max(0.0, action.retry_at - now) * 10) / 10
    return f"{action.reason.value}; retry after {wait:.1f} s"
