"""Routing: from a packet to its owner, and from the owner to target or caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.messages import (
    ACK,
    FIN,
    RST,
    SYN,
    Drop,
    DropReason,
    RefusalReason,
    Refuse,
    Relay,
    RelayKind,
    SendToCaller,
    SendToTarget,
)
from citronspring.rendezvous import service_key_of
from citronspring.systems import second_chance
from citronspring.systems.binding import bind, close, forget, idle_deadline
from citronspring.systems.health import note_answer, note_failure
from citronspring.systems.limits import RETRY_AFTER
from citronspring.systems.openings import (
    forward_by_second,
    open_flow,
    retry_opening,
    target_reset_opening,
)
from citronspring.systems.placement import possible_targets
from citronspring.tables import FlowState, HintRow

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.messages import Action, Packet, PacketReceived, RelayReceived
    from citronspring.tables import AccountRow, FlowRow, Tables, TargetRow

TCP = 6

#: Flags that change a flow's state; only the owner may see such packets last.
STATE_FLAGS = SYN | FIN | RST

#: Relayed packets of a flow after which the relaying host is given a hint.
HINT_EVERY = 16

#: Seconds a hint lasts; well below TIME-WAIT, so it never meets a reused tuple.
HINT_LIFETIME = 5.0

#: Hints held at once.
MAX_HINTS = 65536

FIN_FROM_CALLER = 1
FIN_FROM_TARGET = 2
BOTH_FINS = 3


def receive_packet(
    tables: Tables, event: PacketReceived, now: float, actions: list[Action]
) -> None:
    """Route a packet from the fabric or from a target's tunnel."""
    packet = event.packet
    source = None
    if event.target_id is not None:
        source = tables.targets.get(event.target_id)
        account = tables.services.get(service_key_of(packet.flow))
        # A target that answers for another account's service address would hand
        # one customer's bytes to another customer's caller.
        if source is None or source.account is not account:
            actions.append(Drop(DropReason.FOREIGN_SOURCE))
            return
    owner = tables.ring.pair(packet.flow)[0]
    if owner == tables.host_id:
        decide(tables, packet, source, now, actions)
    else:
        pass_on(tables, packet, source, owner, now, actions)


def pass_on(
    tables: Tables,
    packet: Packet,
    source: TargetRow | None,
    owner: str | None,
    now: float,
    actions: list[Action],
) -> None:
    """Forward another owner's packet by a hint, or relay it to the owner."""
    hint = tables.hints.get(packet.flow)
    if hint is not None and use_hint(tables, hint, packet, source, now, actions):
        return
    if owner is None:
        actions.append(Drop(DropReason.NO_OWNER))
        return
    tables.counters["relayed"] += 1
    source_id = None if source is None else source.target.target_id
    actions.append(Relay(RelayKind.TO_OWNER, owner, packet.flow, packet, source_id))


def use_hint(
    tables: Tables,
    hint: HintRow,
    packet: Packet,
    source: TargetRow | None,
    now: float,
    actions: list[Action],
) -> bool:
    """Forward a packet by a hint if it still holds; return whether it did."""
    current = tables.targets.get(hint.target.target.target_id)
    stale = hint.ring_version != tables.ring.version or current is not hint.target
    if hint.deadline <= now or stale:
        del tables.hints[packet.flow]
        return False
    if packet.flags & STATE_FLAGS or packet.unreachable:
        return False
    if packet.from_caller:
        actions.append(SendToTarget(hint.target.target.target_id, packet))
        return True
    if source is not hint.target:
        return False
    actions.append(SendToCaller(packet))
    return True


def receive_relay(
    tables: Tables, event: RelayReceived, now: float, actions: list[Action]
) -> None:
    """Take what another host relayed; a relayed packet is not relayed onward."""
    match event.kind:
        case RelayKind.TO_OWNER:
            assert event.packet is not None
            source = tables.targets.get(event.source) if event.source else None
            if event.source and source is None:
                actions.append(Drop(DropReason.FOREIGN_SOURCE))
                return
            decide(tables, event.packet, source, now, actions)
            offer_hint(tables, event, actions)
        case RelayKind.PROPOSE:
            confirm_proposal(tables, event, now, actions)
        case RelayKind.ASK:
            answer_question(tables, event, now, actions)
        case RelayKind.UNKNOWN:
            second_chance.second_does_not_know(tables, event.flow, now, actions)
        case RelayKind.BIND:
            take_binding(tables, event, now, actions)
        case RelayKind.HINT:
            take_hint(tables, event, now)


def offer_hint(tables: Tables, event: RelayReceived, actions: list[Action]) -> None:
    """Let a host that relays much of a flow forward the rest itself."""
    row = tables.flows.rows.get(event.flow)
    if row is None or row.state != FlowState.ESTABLISHED:
        return
    row.relays = (row.relays + 1) % HINT_EVERY
    if row.relays:
        return
    target_id = row.target.target.target_id
    actions.append(Relay(RelayKind.HINT, event.sender, event.flow, target_id=target_id))


def take_hint(tables: Tables, event: RelayReceived, now: float) -> None:
    """Keep a hint, if it comes from the owner this host knows."""
    target = tables.targets.get(event.target_id or "")
    owner = tables.ring.pair(event.flow)[0]
    if target is None or owner != event.sender or len(tables.hints) >= MAX_HINTS:
        return
    tables.hints[event.flow] = HintRow(target, now + HINT_LIFETIME, tables.ring.version)


def confirm_proposal(
    tables: Tables, event: RelayReceived, now: float, actions: list[Action]
) -> None:
    """As second-ranked host, keep a copy of the owner's binding and forward.

    If this host already knows the flow (it was the owner until a moment ago), its
    binding wins: the flow lives there.
    """
    assert event.packet is not None
    proposed = tables.targets.get(event.target_id or "")
    row = known(tables, event.flow)
    if row is not None and row.target is not proposed:
        actions.append(SendToTarget(row.target.target.target_id, event.packet))
        actions.append(bind_message(event, row.target))
        return
    if proposed is None:
        actions.append(Drop(DropReason.UNCERTAIN))
        return
    if row is None:
        rows = tables.flows.rows
        if rows.has_room(proposed.account, tables.max_flows):
            bind(tables, event.flow, proposed, FlowState.BACKUP, now)
    elif row.state == FlowState.BACKUP:
        row.deadline = idle_deadline(event.flow, proposed.account, now)
    actions.append(SendToTarget(proposed.target.target_id, event.packet))


def bind_message(event: RelayReceived, target: TargetRow) -> Relay:
    """Tell the sender of a relay which target the flow is on."""
    target_id = target.target.target_id
    return Relay(RelayKind.BIND, event.sender, event.flow, target_id=target_id)


def answer_question(
    tables: Tables, event: RelayReceived, now: float, actions: list[Action]
) -> None:
    """Forward a packet the owner asks about, or say the flow is not known here."""
    assert event.packet is not None
    row = known(tables, event.flow)
    if row is None:
        actions.append(Relay(RelayKind.UNKNOWN, event.sender, event.flow))
        return
    actions.append(SendToTarget(row.target.target.target_id, event.packet))
    actions.append(bind_message(event, row.target))


def known(tables: Tables, flow: FlowKey) -> FlowRow | None:
    """Return the row of a flow that is not closed."""
    row = tables.flows.rows.get(flow)
    if row is None or row.state == FlowState.CLOSING:
        return None
    return row


def take_binding(
    tables: Tables, event: RelayReceived, now: float, actions: list[Action]
) -> None:
    """Take over a binding the second-ranked host knew."""
    target = tables.targets.get(event.target_id or "")
    if target is None:
        return
    tables.openings.pop(event.flow, None)
    walk = tables.walks.pop(event.flow, None)
    bind(tables, event.flow, target, FlowState.ESTABLISHED, now)
    if walk is None:
        return
    for packet in walk.packets[1:]:
        actions.append(SendToTarget(target.target.target_id, packet))


def decide(
    tables: Tables,
    packet: Packet,
    source: TargetRow | None,
    now: float,
    actions: list[Action],
) -> None:
    """Decide, as owner, where a packet goes."""
    row = tables.flows.rows.get(packet.flow)
    if packet.from_caller:
        if row is None or row.state == FlowState.CLOSING:
            open_or_search(tables, row, packet, now, actions)
        else:
            forward_known(tables, row, packet, now, actions)
    elif source is None:
        actions.append(Drop(DropReason.FOREIGN_SOURCE))
    else:
        take_answer(tables, row, source, packet, now, actions)


def forward_known(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Forward a caller's packet of a bound flow."""
    target = row.target
    account = target.account
    if now >= account.deadlines_renewed_until:
        account.renew_deadlines(now)
    flow = packet.flow
    if row.state == FlowState.ESTABLISHED and flow[0] == TCP:
        row.deadline = account.tcp_deadline
        if packet.flags & STATE_FLAGS:
            follow_caller_state(tables, row, packet, now)
        actions.append(SendToTarget(target.target.target_id, packet))
        return
    row.deadline = idle_deadline(flow, account, now)
    if row.state == FlowState.BACKUP:
        promote(row)
    if flow[0] != TCP:
        forward_datagram(tables, row, packet, now, actions)
    elif row.state == FlowState.ANSWERED and not packet.flags & (SYN | RST):
        confirm_opening(tables, row, packet, now, actions)
    elif row.state == FlowState.OPENING and not packet.flags & (SYN | RST):
        wrong_target(tables, row, packet, now, actions)
    else:
        follow_caller_state(tables, row, packet, now)
        actions.append(SendToTarget(target.target.target_id, packet))


def promote(row: FlowRow) -> None:
    """Make a copied binding this owner's own."""
    row.state = FlowState.ESTABLISHED
    row.target.flows += 1
    row.target.account.open_flows += 1


def forward_datagram(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Forward a datagram; now and then by the second host, to renew its copy."""
    opening = tables.openings.get(packet.flow)
    if opening is not None:
        opening.sent += 1
    if row.refresh_at <= now:
        row.refresh_at = row.target.account.refresh_deadline
        forward_by_second(tables, row.target, packet, actions)
        return
    actions.append(SendToTarget(row.target.target.target_id, packet))


def confirm_opening(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Take the caller's first acknowledgement: of this target's answer, or not."""
    opening = tables.openings.pop(packet.flow, None)
    answer_seq = None if opening is None else opening.answer_seq
    if answer_seq is None or second_chance.near(packet.ack, answer_seq + 1):
        row.state = FlowState.ESTABLISHED
        follow_caller_state(tables, row, packet, now)
        actions.append(SendToTarget(row.target.target.target_id, packet))
        return
    wrong_target(tables, row, packet, now, actions)


def wrong_target(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Look for the target the caller really speaks with.

    Two hosts whose views differed each placed the SYN, and the caller took the
    other one's answer. Its packets would be reset by the target bound here.
    """
    tables.counters["openings.doubled"] += 1
    account = row.target.account
    forget(tables, packet.flow)
    second_chance.begin_walk(tables, account, packet, now, actions)


def follow_caller_state(
    tables: Tables, row: FlowRow, packet: Packet, now: float
) -> None:
    """Note a caller's FIN or RST."""
    if packet.flags & RST:
        close(tables, packet.flow, row, now)
    elif packet.flags & FIN:
        row.fins |= FIN_FROM_CALLER
        close_when_both_ended(tables, row, packet, now)


def close_when_both_ended(
    tables: Tables, row: FlowRow, packet: Packet, now: float
) -> None:
    """Close a flow whose two sides have each sent their FIN."""
    if row.fins == BOTH_FINS and row.state != FlowState.CLOSING:
        close(tables, packet.flow, row, now)


def open_or_search(
    tables: Tables,
    row: FlowRow | None,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Handle a caller's packet of a flow that is unknown or closed here."""
    account = tables.services.get(service_key_of(packet.flow))
    if account is None:
        refuse_unknown_service(packet, now, actions)
    elif packet.unreachable:
        actions.append(Drop(DropReason.UNCERTAIN))
    elif packet.flow[0] != TCP:
        open_flow(tables, account, packet, now, actions)
    elif packet.flags & SYN and not packet.flags & ACK:
        tables.walks.pop(packet.flow, None)
        open_flow(tables, account, packet, now, actions)
    elif row is not None:
        # Last acknowledgements of a closed flow: the pinned target expects them.
        actions.append(SendToTarget(row.target.target.target_id, packet))
    elif packet.flags & RST:
        spread_caller_reset(tables, account, packet, actions)
    else:
        search(tables, account, packet, now, actions)


def refuse_unknown_service(packet: Packet, now: float, actions: list[Action]) -> None:
    """Refuse an opening to an address no client account has."""
    if packet.flags & SYN:
        retry_at = now + RETRY_AFTER
        actions.append(Refuse(packet, RefusalReason.NO_SERVICE, retry_at))
    else:
        actions.append(Drop(DropReason.UNKNOWN_SERVICE))


def search(
    tables: Tables,
    account: AccountRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Start or join the search for the target of an unknown flow."""
    walk = tables.walks.get(packet.flow)
    if walk is not None:
        second_chance.hold(walk, packet, actions)
    else:
        second_chance.begin_walk(tables, account, packet, now, actions)


def spread_caller_reset(
    tables: Tables, account: AccountRow, packet: Packet, actions: list[Action]
) -> None:
    """Give a caller's reset of an unknown flow to every target it may be on."""
    for target in possible_targets(packet.flow, account):
        actions.append(SendToTarget(target.target.target_id, packet))


def take_answer(
    tables: Tables,
    row: FlowRow | None,
    source: TargetRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Handle a target's answer."""
    if row is None:
        answer_of_unknown_flow(tables, source, packet, now, actions)
    elif row.target is not source:
        actions.append(Drop(DropReason.STALE_ANSWER))
    elif row.state == FlowState.ESTABLISHED:
        answer_established(tables, row, packet, now, actions)
    elif row.state == FlowState.OPENING:
        answer_opening(tables, row, packet, now, actions)
    elif row.state == FlowState.BACKUP:
        promote(row)
        answer_established(tables, row, packet, now, actions)
    else:
        actions.append(SendToCaller(packet))


def answer_established(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Pass on an answer of an established flow, and note its FIN or RST."""
    row.deadline = idle_deadline(packet.flow, row.target.account, now)
    if packet.flags & RST:
        close(tables, packet.flow, row, now)
    elif packet.flags & FIN:
        row.fins |= FIN_FROM_TARGET
        close_when_both_ended(tables, row, packet, now)
    actions.append(SendToCaller(packet))


def answer_opening(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """Handle the first answer to an opening."""
    flow = packet.flow
    opening = tables.openings.get(flow)
    if opening is None:
        row.state = FlowState.ESTABLISHED
        answer_established(tables, row, packet, now, actions)
    elif packet.unreachable:
        datagram_refused(tables, row, packet, now, actions)
    elif packet.flags & RST:
        target_reset_opening(tables, flow, row, now, actions)
    elif flow[0] != TCP:
        row.state = FlowState.ESTABLISHED
        note_answer(row.target, now)
        del tables.openings[flow]
        actions.append(SendToCaller(packet))
    elif packet.flags & SYN:
        row.state = FlowState.ANSWERED
        note_answer(row.target, now)
        opening.answer_seq = packet.seq
        actions.append(SendToCaller(packet))
    else:
        # An acknowledgement of numbers from an earlier flow with this tuple: the
        # caller's stack resets it, which frees the tuple on the target.
        actions.append(SendToCaller(packet))


def datagram_refused(
    tables: Tables, row: FlowRow, packet: Packet, now: float, actions: list[Action]
) -> None:
    """A target refused a datagram: try another if nothing else was sent there."""
    opening = tables.openings[packet.flow]
    note_failure(tables, row.target, now)
    if opening.sent > 1:
        close(tables, packet.flow, row, now)
        actions.append(SendToCaller(packet))
        return
    reason = RefusalReason.NO_HEALTHY_TARGET
    retry_opening(tables, packet.flow, opening, reason, now, actions)


def answer_of_unknown_flow(
    tables: Tables,
    source: TargetRow,
    packet: Packet,
    now: float,
    actions: list[Action],
) -> None:
    """Learn from an answer where a flow lives that this owner does not know."""
    walk = tables.walks.get(packet.flow)
    if walk is not None:
        second_chance.answer_during_walk(tables, walk, source, packet, now, actions)
    elif packet.flags & (RST | SYN):
        # A reset may answer a walk that ended; a SYN-ACK an opening placed twice.
        actions.append(Drop(DropReason.SWALLOWED_RESET))
    else:
        bind(tables, packet.flow, source, FlowState.ESTABLISHED, now)
        actions.append(SendToCaller(packet))
