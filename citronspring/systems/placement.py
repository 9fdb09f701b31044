"""Which targets a flow may be on, and which one a new flow is given to.

A new flow goes only to one of the ``WINDOW`` highest-ranked targets that took new
flows at some revision. So a host that never saw the flow can list every place it
may live from the configuration alone, see `possible_targets`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.messages import RefusalReason
from citronspring.rendezvous import score

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.tables import AccountRow, Tables, TargetRow

#: Ranked targets among which the least loaded is chosen. More spread load better
#: and lengthen the walk for a flow whose owner was lost.
CANDIDATES = 4

#: No flow is ever placed below this rank, whatever is ejected or full. It bounds
#: the walk: each generation of the target set adds at most this many.
WINDOW = 16

#: Up to this many targets, every one is a candidate.
ALL_CANDIDATES = 8

#: A datagram flow leaves its first-ranked target only beyond this share of the
#: mean load: nothing like a reset tells where it lives once both copies are lost.
DATAGRAM_LOAD_BOUND = 1.25

#: Flows beyond that share which are no reason to leave it: on a host with few flows
#: every single one would.
DATAGRAM_SLACK = 8


def rank_targets(flow: FlowKey, rows: list[TargetRow]) -> list[TargetRow]:
    """Return target rows from the highest rendezvous weight to the lowest."""
    return sorted(rows, key=lambda row: score(flow, row.seed), reverse=True)


def placement_window(flow: FlowKey, account: AccountRow, now: float) -> list[TargetRow]:
    """Return the ranked targets that configuration lets take the flow."""
    placeable = [
        row
        for row in account.targets
        if row.target.leaving_revision is None and row.placeable_from <= now
    ]
    return rank_targets(flow, placeable)[:WINDOW]


def load_of(row: TargetRow) -> float:
    """Return the share of a target's connections in use, as far as known."""
    return (row.flows + row.remote_flows) / row.target.max_connections


def is_eligible(row: TargetRow, now: float) -> bool:
    """Whether health and limits let the target take one more flow."""
    return row.ejected_until <= now and load_of(row) < 1.0


def may_take(row: TargetRow, now: float) -> bool:
    """Whether configuration, health and limits let the target take a new flow."""
    configured = not row.target.leaving and row.placeable_from <= now
    return configured and is_eligible(row, now)


def choose_target(
    tables: Tables,
    flow: FlowKey,
    account: AccountRow,
    tried: list[TargetRow],
    now: float,
) -> TargetRow | RefusalReason:
    """Return the target for a new flow, or why there is none."""
    window = placement_window(flow, account, now)
    untried = [row for row in window if row not in tried]
    if not untried:
        return RefusalReason.NO_HEALTHY_TARGET
    eligible = [row for row in untried if is_eligible(row, now)]
    if not eligible:
        if any(row.ejected_until <= now for row in untried):
            return RefusalReason.TARGETS_FULL
        return RefusalReason.NO_HEALTHY_TARGET
    count = len(eligible) if len(window) <= ALL_CANDIDATES else CANDIDATES
    candidates = eligible[:count]
    if flow[0] == 17:
        return first_within_bound(candidates)
    return min(
        candidates, key=lambda row: (load_of(row), row.target.zone != tables.zone)
    )


def first_within_bound(candidates: list[TargetRow]) -> TargetRow:
    """Return the first-ranked candidate that is not loaded far above the mean."""
    total = sum(row.flows + row.remote_flows for row in candidates)
    mean = (total + 1) / len(candidates)
    bound = DATAGRAM_LOAD_BOUND * mean + DATAGRAM_SLACK
    for row in candidates:
        if row.flows + row.remote_flows <= bound:
            return row
    return candidates[0]


def possible_targets(flow: FlowKey, account: AccountRow) -> list[TargetRow]:
    """Return, likeliest first, every target an unknown flow can live on.

    A target qualifies if at some revision of its interval [added, leaving) fewer
    than ``WINDOW`` placeable targets outranked it. Targets removed for good are
    no longer counted against lower ranks, which can only lengthen the list. With
    n targets grown from m, it holds about ``WINDOW * (1 + ln(n / m))`` of them.
    """
    if len(account.targets) <= WINDOW:
        return rank_targets(flow, account.targets)
    revisions = generation_starts(account)
    higher = dict.fromkeys(revisions, 0)
    possible: list[TargetRow] = []
    for row in rank_targets(flow, account.targets):
        placeable_at = [rev for rev in revisions if was_placeable(row, rev)]
        if any(higher[rev] < WINDOW for rev in placeable_at):
            possible.append(row)
        for rev in placeable_at:
            higher[rev] += 1
        if all(count >= WINDOW for count in higher.values()):
            break
    return possible


def generation_starts(account: AccountRow) -> list[int]:
    """Return the revisions at which the set of placeable targets changed."""
    revisions: set[int] = set()
    for row in account.targets:
        revisions.add(row.target.added_revision)
        if row.target.leaving_revision is not None:
            revisions.add(row.target.leaving_revision)
    return sorted(rev for rev in revisions if placeable_count(account, rev))


def placeable_count(account: AccountRow, revision: int) -> int:
    """Return how many of today's targets took new flows at a revision."""
    return sum(was_placeable(row, revision) for row in account.targets)


def was_placeable(row: TargetRow, revision: int) -> bool:
    """Whether the target took new flows at a revision."""
    left = row.target.leaving_revision
    return row.target.added_revision <= revision and (left is None or revision < left)
