"""Which targets a flow may be on, and which one a new flow is given to.

A new flow goes only to one of the ``PLACEMENT_WINDOW`` highest-ranked targets that took new
flows at some revision. So a host that never saw the flow can list every place it
may live from the configuration alone, see `possible_targets`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from citronspring.messages import RefusalReason
from citronspring.systems.health import is_excluded, load_factor
from citronspring.systems.limits import has_room

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.tables import AccountRow, Tables, TargetRow

#: Ranked targets among which the least loaded is chosen. More spread load better
#: and lengthen the walk for a flow whose owner was lost.
COMPARED_TARGETS = 4

#: No flow is ever placed below this rank, whatever is ejected or full. It bounds
#: the walk: each generation of the target set adds at most this many.
PLACEMENT_WINDOW = 16

#: Up to this many targets, every one is a candidate.
ALL_CANDIDATES = 8

#: A datagram flow leaves its first-ranked target only beyond this share of the
#: mean load: nothing like a reset tells where it lives once both copies are lost.
DATAGRAM_LOAD_BOUND = 1.25

#: Flows beyond that share which are no reason to leave it: on a host with few flows
#: every single one would.
DATAGRAM_SLACK = 8

#: Times the mean load that the last healthy targets take before those that health
#: speaks against are used again.
PANIC_LOAD = 4.0

UDP = 17


def rank_targets(flow: FlowKey, rows: list[TargetRow]) -> list[TargetRow]:
    """Return target rows from the highest rendezvous weight to the lowest."""
    # As `score`, without a call of its own for each target of each new flow.
    return sorted(rows, key=lambda row: xxh64_intdigest(flow, row.seed), reverse=True)


def placement_window(flow: FlowKey, account: AccountRow, now: float) -> list[TargetRow]:
    """Return the ranked targets that configuration lets take the flow."""
    placeable = [
        row
        for row in account.targets
        if row.target.leaving_revision is None and row.placeable_from <= now
    ]
    return rank_targets(flow, placeable)[:PLACEMENT_WINDOW]


def own_flow_weight(tables: Tables) -> float:
    """Return how many flows over all hosts one flow of this host stands for.

    All owners see the same target as the emptiest. Did each make up the whole
    difference by itself, new flows would herd there until it is the fullest; so
    what peers told counts by a part, and not at all once it is old.
    """
    weight = tables.loads.weight
    hosts = len(tables.owners.members)
    return (1.0 - weight) * hosts + weight * (1 + tables.silent_peers)


def estimated_flows(tables: Tables, row: TargetRow) -> float:
    """Return the open flows of a target over all hosts, as far as known."""
    return row.flows * own_flow_weight(tables) + row.remote_flows * tables.loads.weight


def usable_targets(
    tables: Tables, window: list[TargetRow], free: list[TargetRow], now: float
) -> list[TargetRow]:
    """Return the targets with room that health lets new flows go to.

    Health never takes away more than half of the targets: beyond that the fault
    may lie with this host's view, and the few left would be overrun. They then
    still go first, until they carry ``PANIC_LOAD`` times the mean.
    """
    standing = [row for row in window if not is_excluded(tables, row, now)]
    if len(standing) == len(window):
        return free
    healthy = [row for row in free if row in standing]
    if 2 * len(standing) >= len(window):
        return healthy
    mean = sum(estimated_flows(tables, row) for row in window) / len(window)
    ceiling = PANIC_LOAD * (mean + 1.0)
    calm = [row for row in healthy if estimated_flows(tables, row) <= ceiling]
    return calm or free


def accepts_new_flow(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether configuration, health and limits let the target take a new flow."""
    configured = not row.target.leaving and row.placeable_from <= now
    sound = not is_excluded(tables, row, now)
    return configured and sound and has_room(tables, row)


def choose_target(
    tables: Tables,
    flow: FlowKey,
    account: AccountRow,
    tried: list[TargetRow],
    now: float,
) -> TargetRow | RefusalReason:
    """Return the target for a new flow, or why there is none."""
    window = placement_window(flow, account, now)
    if window and not tried and flow[0] != UDP:
        # Mostly nothing is wrong with the least loaded of all, and no need to look
        # at the others' health and room.
        best = least_loaded(tables, compared_targets(window, window), now)
        if has_room(tables, best) and not is_excluded(tables, best, now):
            return best
    untried = [row for row in window if row not in tried]
    if not untried:
        return RefusalReason.NO_HEALTHY_TARGET
    free = [row for row in untried if has_room(tables, row)]
    if not free:
        return RefusalReason.TARGETS_FULL
    eligible = usable_targets(tables, window, free, now)
    if not eligible:
        return RefusalReason.NO_HEALTHY_TARGET
    candidates = compared_targets(window, eligible)
    if flow[0] == UDP:
        return first_within_bound(tables, candidates)
    return least_loaded(tables, candidates, now)


def compared_targets(
    window: list[TargetRow], eligible: list[TargetRow]
) -> list[TargetRow]:
    """Return the eligible targets that are compared by load."""
    return eligible if len(window) <= ALL_CANDIDATES else eligible[:COMPARED_TARGETS]


def least_loaded(tables: Tables, candidates: list[TargetRow], now: float) -> TargetRow:
    """Return the least full candidate; of equals, the first in this host's zone.

    What `estimated_flows` and `load_factor` say stands here without calls: this loop is a
    fifth of what a new flow costs.
    """
    own, told = own_flow_weight(tables), tables.loads.weight
    zone = tables.zone
    best, lightest = candidates[0], float("inf")
    for row in candidates:
        flows = row.flows * own + row.remote_flows * told + 1.0
        load = flows / row.target.max_connections
        if row.health.prober_reports is not None or row.warm_at > now:
            load *= load_factor(row, now)
        if load > lightest:
            continue
        if load < lightest or row.target.zone == zone != best.target.zone:
            best, lightest = row, load
    return best


def first_within_bound(tables: Tables, candidates: list[TargetRow]) -> TargetRow:
    """Return the first-ranked candidate that is not loaded far above the mean."""
    total = sum(estimated_flows(tables, row) for row in candidates)
    mean = (total + 1) / len(candidates)
    bound = DATAGRAM_LOAD_BOUND * mean + DATAGRAM_SLACK
    for row in candidates:
        if estimated_flows(tables, row) <= bound:
            return row
    return candidates[0]


def possible_targets(flow: FlowKey, account: AccountRow) -> list[TargetRow]:
    """Return, likeliest first, every target an unknown flow can live on.

    A target qualifies if at some revision of its interval [added, leaving) fewer
    than ``PLACEMENT_WINDOW`` placeable targets outranked it. Targets removed for good are
    no longer counted against lower ranks, which can only lengthen the list. With
    n targets grown from m, it holds about ``WINDOW * (1 + ln(n / m))`` of them.
    """
    if len(account.targets) <= PLACEMENT_WINDOW:
        return rank_targets(flow, account.targets)
    revisions = generation_starts(account)
    higher = dict.fromkeys(revisions, 0)
    possible: list[TargetRow] = []
    for row in rank_targets(flow, account.targets):
        placeable_at = [rev for rev in revisions if was_placeable(row, rev)]
        if any(higher[rev] < PLACEMENT_WINDOW for rev in placeable_at):
            possible.append(row)
        for rev in placeable_at:
            higher[rev] += 1
        if all(count >= PLACEMENT_WINDOW for count in higher.values()):
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
