"""Hints: permission to forward packets of a long flow without its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.messages import Relay, RelayKind, SendToCaller, SendToTarget
from citronspring.systems.services import target_of
from citronspring.tables import FlowState, HintRow
from citronspring.tcp_flags import FIN, RST, SYN

if TYPE_CHECKING:
    from citronspring.messages import Action, Packet, RelayReceived
    from citronspring.tables import Tables, TargetRow

#: Flags that change a flow's state. Packets with them always go through the owner.
STATE_FLAGS = SYN | FIN | RST

#: Relayed packets of a flow after which the relaying host gets a hint.
HINT_EVERY = 16

#: Seconds a hint is valid; far below TIME-WAIT, so a reused tuple never has one.
HINT_LIFETIME = 5.0

#: Maximum number of hints.
MAX_HINTS = 65536


def use_hint(
    tables: Tables,
    hint: HintRow,
    packet: Packet,
    source: TargetRow | None,
    now: float,
    actions: list[Action],
) -> bool:
    """Forward a packet by a hint if it is still valid; return whether it was."""
    current = tables.targets.get(hint.target.target.target_id)
    stale = hint.owners_version != tables.owners.version or current is not hint.target
    if hint.deadline <= now or stale:
        del tables.hints[packet.flow]
        return False
    if packet.flags & STATE_FLAGS:
        # The flow begins or ends; later packets may belong to another flow of the
        # tuple.
        del tables.hints[packet.flow]
        return False
    if packet.unreachable:
        return False
    if packet.from_caller:
        actions.append(SendToTarget(hint.target.target.target_id, packet))
        return True
    if source is not hint.target:
        return False
    actions.append(SendToCaller(packet))
    return True


def offer_hint(tables: Tables, event: RelayReceived, actions: list[Action]) -> None:
    """Allow a host that relays many packets of a flow to forward the rest itself."""
    row = tables.flows.rows.get(event.flow)
    if row is None or row.state != FlowState.ESTABLISHED:
        return
    row.relays = (row.relays + 1) % HINT_EVERY
    if row.relays:
        return
    target_id = row.target.target.target_id
    actions.append(Relay(RelayKind.HINT, event.sender, event.flow, target_id=target_id))


def receive_hint(tables: Tables, event: RelayReceived, now: float) -> None:
    """Store a hint if it comes from the owner in this host's view."""
    target = target_of(tables, event.flow, event.target_id)
    owner = tables.owners.owner_and_backup(event.flow)[0]
    if target is None or owner != event.sender:
        return
    # Removed first, so that hints are ordered by expiry time.
    tables.hints.pop(event.flow, None)
    if len(tables.hints) >= MAX_HINTS:
        return
    tables.hints[event.flow] = HintRow(
        target, now + HINT_LIFETIME, tables.owners.version
    )
