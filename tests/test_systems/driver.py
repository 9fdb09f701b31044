"""Drives a single core: builds its packets and classifies its actions."""

from __future__ import annotations

from dataclasses import replace

from citronspring.balancer import Balancer
from citronspring.messages import (
    Packet,
    PacketReceived,
    Relay,
    RelayKind,
    RelayReceived,
    SendToTarget,
    SnapshotRead,
)
from citronspring.rendezvous import flow_key
from citronspring.systems.expiry import expire_flows, expire_hints
from citronspring.systems.flow_search import expire_searches
from citronspring.systems.openings import expire_openings
from citronspring.systems.ownership import update_owners
from citronspring.systems.placement import rank_targets
from citronspring.tcp_flags import ACK, FIN, RST, SYN
from tests.conftest import make_host

CALLER_SEQ = 1000
TARGET_SEQ = 5000


def make_core(snapshot, hosts=1, index=0):
    members = [make_host(number) for number in range(hosts)]
    others = [host for host in members if host is not members[index]]
    core = Balancer.from_config(members[index], others)
    core.receive(SnapshotRead(snapshot), 0.0)
    return core


def flow_to(address="192.0.2.1", port=40_000, protocol=6):
    return flow_key(protocol, address, 443, "198.51.100.7", port)


def owned_flow(core, owner=True, backup=None, start=40_000):
    """Return a flow that the core owns, or that has a named host as its backup."""
    for port in range(start, 60_000):
        flow = flow_to(port=port)
        first, next_owner = core.tables.owners.owner_and_backup(flow)
        mine = (first == core.tables.host_id) == owner
        if mine and backup in (None, next_owner):
            return flow
    raise AssertionError("no such flow")


def from_caller(flow, flags=ACK, seq=CALLER_SEQ + 1, ack=TARGET_SEQ + 1, data=b""):
    packet = Packet(flow, True, flags, seq, ack, len(data), data)
    return PacketReceived(packet)


def syn(flow):
    return from_caller(flow, SYN, CALLER_SEQ, 0)


def from_target(
    flow, target_id, flags=ACK, seq=TARGET_SEQ + 1, ack=CALLER_SEQ + 1, data=b""
):
    packet = Packet(flow, False, flags, seq, ack, len(data), data)
    return PacketReceived(packet, target_id)


def reset(flow, target_id, seq=TARGET_SEQ + 1):
    return from_target(flow, target_id, RST, seq)


def syn_ack(flow, target_id):
    return from_target(flow, target_id, SYN | ACK, TARGET_SEQ)


def fin(flow, target_id=None):
    if target_id is None:
        return from_caller(flow, FIN | ACK)
    return from_target(flow, target_id, FIN | ACK)


def relayed(event, sender="host-1", kind=RelayKind.TO_OWNER, target_id=None):
    return RelayReceived(
        kind, sender, event.packet.flow, event.packet, event.target_id, target_id
    )


def open_flow(core, flow, now=0.0):
    """Open a flow through the core; return the target it was placed on."""
    [action] = core.receive(syn(flow), now)
    assert isinstance(action, SendToTarget | Relay)
    target_id = action.target_id
    core.receive(syn_ack(flow, target_id), now)
    core.receive(from_caller(flow), now)
    return target_id


def expire(core, now):
    """Run the periodic systems of flows, without those that need other hosts."""
    tables = core.tables
    actions = []
    update_owners(tables, now)
    expire_openings(tables, now, actions)
    expire_searches(tables, now, actions)
    expire_flows(tables, now)
    expire_hints(tables, now)
    return actions


def sent_to(actions):
    return [item.target_id for item in actions if isinstance(item, SendToTarget)]


def kinds(actions):
    return [type(item).__name__ for item in actions]


def replace_revision(target, revision):
    return replace(target, added_revision=revision)


def with_targets(account, targets):
    return replace(account, targets=tuple(targets))


__all__ = ["RelayReceived", "rank_targets"]
