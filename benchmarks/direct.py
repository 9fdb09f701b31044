"""Helpers that pass packets to cores directly, without a network.

This is cheaper than simulating the TCP stacks of callers and targets. A caller is the
client that opens flows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.world import SERVICE_IP, SERVICE_PORT, make_snapshot, make_target
from citronspring.messages import (
    Packet,
    PacketReceived,
    Relay,
    SendToTarget,
    SnapshotRead,
)
from citronspring.rendezvous import flow_key
from citronspring.tcp_flags import ACK, FIN, SYN

if TYPE_CHECKING:
    from citronspring.balancer import Balancer
    from citronspring.entities import FlowKey
    from citronspring.messages import Action

#: Initial TCP sequence numbers of callers and targets.
CALLER_SEQ = 1000
TARGET_SEQ = 5000

#: Source ports used of each caller address.
PORTS = 60_000


def numbered_flow(number: int) -> FlowKey:
    """Return the five-tuple of flow `number`."""
    address, port = divmod(number, PORTS)
    caller = f"198.{18 + address // 65536}.{address // 256 % 256}.{address % 256}"
    return flow_key(6, SERVICE_IP, SERVICE_PORT, caller, 1024 + port)


def configure(core: Balancer, targets: int) -> None:
    """Configure a core with one client account that has a number of targets."""
    rows = tuple(make_target(index) for index in range(targets))
    core.receive(SnapshotRead(make_snapshot(1, rows)), 0.0)


def from_caller(flow: FlowKey, flags: int, length: int = 0) -> PacketReceived:
    """Return a received packet from the caller of a flow."""
    seq = CALLER_SEQ if flags & SYN else CALLER_SEQ + 1
    ack = 0 if flags & SYN else TARGET_SEQ + 1
    return PacketReceived(Packet(flow, True, flags, seq, ack, length, b""))


def from_target(
    flow: FlowKey, target_id: str, flags: int, length: int = 0
) -> PacketReceived:
    """Return a received packet from a target."""
    seq = TARGET_SEQ if flags & SYN else TARGET_SEQ + 1
    packet = Packet(flow, False, flags, seq, CALLER_SEQ + 1, length, b"")
    return PacketReceived(packet, target_id)


def chosen_target(actions: list[Action]) -> str:
    """Return the target that an opening was sent to, directly or through a relay."""
    for action in actions:
        if isinstance(action, SendToTarget | Relay) and action.target_id is not None:
            return action.target_id
    raise AssertionError(f"opening was not sent to a target: {actions}")


def open_flow(core: Balancer, flow: FlowKey, now: float) -> str:
    """Complete the handshake of a flow on its owner; return the chosen target."""
    target_id = chosen_target(core.receive(from_caller(flow, SYN), now))
    core.receive(from_target(flow, target_id, SYN | ACK), now)
    core.receive(from_caller(flow, ACK), now)
    return target_id


def close_flow(core: Balancer, flow: FlowKey, target_id: str, now: float) -> None:
    """Close a flow with a FIN from each side."""
    core.receive(from_caller(flow, FIN | ACK), now)
    core.receive(from_target(flow, target_id, FIN | ACK), now)
