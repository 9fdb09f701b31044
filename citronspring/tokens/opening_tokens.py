"""Tokens of openings, which a host without a row must not believe for long.

Packets after the opening carry the token of their target (`token_of`). A caller that
returns it has got a packet from a target that holds its flow. Openings carry tokens of
their own, as any target that gets an opening may answer it, also one that the caller
is not bound to, and the caller returns the token of the last answer:

- For the first target of a host: the target's token, masked with the sequence number of
  the opening. A host without a row can read it from the first packet of the flow only.
- For the second target: one half names the first, the other one the second, masked with
  the sequence number. On the first packet of the flow the latter can be read. On later
  ones only the first target can: the flow has been open there through
  another host, and the answer of the second target came after that.
- For further ones, after copies from the caller: as for the first. Later packets may be
  of any target before.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.entities import (
    HALF_BITS,
    HALF_MASK,
    TOKEN_MASK,
    first_name,
    is_second_target,
    mix,
    opening_token,
    second_name,
    start_mask,
)

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet
    from citronspring.tokens.rows import FlowRow, TargetRow
    from citronspring.tokens.tables import Tables

#: Largest number of targets of a route among which half a token is searched. With that
#: many, it is another target's name, too, in 0.4% of cases.
MAX_SEARCHED_TARGETS = 256

#: Seconds after an opening in which packets may have overtaken the flow's first one.
#: Later, only flows that have been open through another host lack a first packet.
START_LIFETIME = 0.2


def find_target_of_opening(
    tables: Tables, packet: Packet, now: float, opening: FlowRow | None = None
) -> TargetRow | None:
    """Return the target that the token of an opening names, None if it names none.

    Parameters
    ----------
    tables : Tables
        All state.
    packet : Packet
        A packet after the opening.
    now : float
        Current time in seconds.
    opening : FlowRow, optional
        The row of its flow, if this host has sent the opening and no packet has shown
        yet to which target the caller is bound.
    """
    first_seq = packet.seq - 1 & TOKEN_MASK
    if opening is not None:
        if now - opening.first_sent_at < START_LIFETIME:
            first_seq = opening.first_seq
        row = find_tried_target(packet, first_seq, opening)
        if row is not None:
            return row
    row = tables.by_token.get(packet.token ^ mix(first_seq))
    if row is not None:
        return row
    return find_target_of_second_token(tables, packet, first_seq)


def find_tried_target(
    packet: Packet, first_seq: int, opening: FlowRow
) -> TargetRow | None:
    """Return the target that a token names by the attempts of this host."""
    tokens = [row.token for row in opening.tried]
    for count, row in enumerate(opening.tried, 1):
        if packet.token == opening_token(tokens[:count], opening.first_seq):
            if first_seq == opening.first_seq:
                return row
            return opening.tried[0] if is_second_target(tokens[:count]) else None
    return None


def find_target_of_second_token(
    tables: Tables, packet: Packet, first_seq: int
) -> TargetRow | None:
    """Return the target that another host's token for a second target names."""
    rows = [
        row
        for service in tables.route_services.get(packet.route, ())
        for row in tables.by_service.get(service, ())
    ]
    if len(rows) > MAX_SEARCHED_TARGETS:
        return None
    name = packet.token >> HALF_BITS
    firsts = [row for row in rows if first_name(row.token) == name]
    if len(firsts) != 1:
        return None
    name = packet.token & HALF_MASK ^ start_mask(first_seq)
    named = [row for row in rows if second_name(row.token) == name]
    if not named:
        return firsts[0]
    return named[0] if len(named) == 1 else None
