"""Second chance: finding the target that holds a flow this owner does not know.

The targets' own TCP stacks are the replica of the flow table. The owner offers
the packet to one possible target after the other; a target that does not hold
the flow answers with a reset, which runs nothing and is swallowed here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.messages import (
    ACK,
    RST,
    Drop,
    DropReason,
    Relay,
    RelayKind,
    SendToCaller,
    SendToTarget,
)
from citronspring.systems.binding import bind
from citronspring.systems.idle import wake
from citronspring.systems.placement import possible_targets
from citronspring.tables import FlowState, WalkRow

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.messages import Action, Packet
    from citronspring.tables import AccountRow, Tables, TargetRow

#: Seconds one candidate has to answer.
PROBE_TIMEOUT = 0.15

#: Seconds the second-ranked host has to answer.
ASK_TIMEOUT = 0.1

#: Seconds after which a walk ends in silence; the caller retransmits.
WALK_TIMEOUT = 3.0

#: Packets held for one flow while its target is looked for.
HELD_PACKETS = 8

#: Walks at once; beyond it packets of unknown flows are dropped.
MAX_WALKS = 4096

#: Sequence numbers this far apart belong to one connection (largest TCP window).
SEQUENCE_WINDOW = 1 << 30
SEQUENCE_MASK = 0xFFFFFFFF


def near(a: int, b: int, window: int = SEQUENCE_WINDOW) -> bool:
    """Whether two 32-bit sequence numbers lie within a window of each other."""
    return ((a - b + window) & SEQUENCE_MASK) <= 2 * window


def begin_walk(
    tables: Tables,
    account: AccountRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Hold a packet of an unknown TCP flow and start looking for its target."""
    wake(tables, account, now)
    if not tables.walks.has_room(account, MAX_WALKS):
        actions.append(Drop(DropReason.WALK_FULL))
        return
    tables.counters["walks"] += 1
    walk = WalkRow(
        account,
        possible_targets(packet.flow, account),
        [packet],
        now + WALK_TIMEOUT,
        now + ASK_TIMEOUT,
    )
    tables.walks[packet.flow] = walk
    owner, second = tables.ring.pair(packet.flow)
    other = second if owner == tables.host_id else owner
    if other is None or other == tables.host_id:
        try_next(tables, packet.flow, walk, now, actions)
        return
    actions.append(Relay(RelayKind.ASK, other, packet.flow, packet))


def hold(walk: WalkRow, packet: Packet, actions: list[Action]) -> None:
    """Keep a further packet of a flow whose target is being looked for."""
    if len(walk.packets) >= HELD_PACKETS:
        actions.append(Drop(DropReason.WALK_FULL))
        return
    walk.packets.append(packet)


def second_does_not_know(
    tables: Tables, flow: FlowKey, now: float, actions: list[Action]
) -> None:
    """The second-ranked host does not know the flow either: ask the targets."""
    walk = tables.walks.get(flow)
    if walk is not None and walk.position < 0:
        try_next(tables, flow, walk, now, actions)


def try_next(
    tables: Tables, flow: FlowKey, walk: WalkRow, now: float, actions: list[Action]
) -> None:
    """Offer the held packet to the next candidate, or end the walk."""
    walk.position += 1
    if walk.position >= len(walk.candidates):
        end_walk(tables, flow, walk, now, actions)
        return
    walk.attempt_deadline = now + PROBE_TIMEOUT
    tables.counters["probes"] += 1
    target_id = walk.candidates[walk.position].target.target_id
    actions.append(SendToTarget(target_id, walk.packets[0]))


def end_walk(
    tables: Tables, flow: FlowKey, walk: WalkRow, now: float, actions: list[Action]
) -> None:
    """Settle a walk in which no candidate owned up to the flow.

    If all but one answered with a reset, the flow can live only on the silent
    one: a target acknowledges no bare ACK, so the holder may well say nothing.
    """
    del tables.walks[flow]
    silent = [row for row in walk.candidates if row.target.target_id not in walk.resets]
    if len(silent) == 1:
        bind(tables, flow, silent[0], FlowState.ESTABLISHED, now)
        for packet in walk.packets[1:]:
            actions.append(SendToTarget(silent[0].target.target_id, packet))
        return
    tables.counters["walks.uncertain"] += 1
    actions.append(Drop(DropReason.UNCERTAIN))


def answer_during_walk(
    tables: Tables,
    walk: WalkRow,
    target: TargetRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Take an answer from a candidate: a reset moves on, anything else binds."""
    if packet.flags & RST:
        reset_during_walk(tables, walk, target, packet, now, actions)
        return
    if not plausible(walk, packet):
        actions.append(Drop(DropReason.STALE_ANSWER))
        return
    found(tables, walk, target, packet, now, actions)


def plausible(walk: WalkRow, answer: Packet) -> bool:
    """Whether an answer belongs to the caller's connection.

    A target in TIME-WAIT of an earlier flow with the same tuple acknowledges
    too; its numbers are those of the old connection.
    """
    if not answer.flags & ACK:
        return False
    return near(answer.ack, walk.packets[0].seq)


def found(
    tables: Tables,
    walk: WalkRow,
    target: TargetRow,
    answer: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Bind the flow to the target that knows it and let the held packets go."""
    flow = answer.flow
    del tables.walks[flow]
    tables.counters["walks.found"] += 1
    bind(tables, flow, target, FlowState.ESTABLISHED, now)
    actions.append(SendToCaller(answer))
    offered = walk.position >= 0 and walk.candidates[walk.position] is target
    for packet in walk.packets[1 if offered else 0 :]:
        actions.append(SendToTarget(target.target.target_id, packet))


def reset_during_walk(
    tables: Tables,
    walk: WalkRow,
    target: TargetRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Swallow a candidate's reset; pass it on only when all others said so too."""
    flow = packet.flow
    walk.resets.add(target.target.target_id)
    if len(walk.resets) == len(walk.candidates) and is_certain(tables, target, now):
        del tables.walks[flow]
        tables.counters["walks.unknown_flow"] += 1
        actions.append(SendToCaller(packet))
        return
    actions.append(Drop(DropReason.SWALLOWED_RESET))
    current = walk.position >= 0 and walk.candidates[walk.position] is target
    if current:
        try_next(tables, flow, walk, now, actions)


def is_certain(tables: Tables, target: TargetRow, now: float) -> bool:
    """Whether this host knows every target the account's flows can live on.

    A peer with a higher revision may have placed the flow on a target this host
    has not heard of; a reset now would break a live stream.
    """
    return all(row.revision <= tables.revision for row in tables.hosts.values())


def expire_walks(tables: Tables, now: float, actions: list[Action]) -> None:
    """Move walks on from candidates that do not answer; end the overdue."""
    for flow, walk in list(tables.walks.items()):
        if walk.deadline <= now:
            del tables.walks[flow]
            actions.append(Drop(DropReason.UNCERTAIN))
        elif walk.attempt_deadline <= now:
            try_next(tables, flow, walk, now, actions)
