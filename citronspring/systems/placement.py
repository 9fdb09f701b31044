"""Target placement: which target a new flow gets, and which may hold a flow.

A new flow goes only to one of the ``PLACEMENT_WINDOW`` highest-ranked targets that took
new flows at some revision. A host that never saw the flow can therefore list every
target that may hold it from the configuration alone, see `possible_targets`.
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

#: Ranked targets among which the least loaded is chosen. A larger number spreads load
#: better and lengthens the search for a flow whose owner was lost.
COMPARED_TARGETS = 4

#: No flow is ever placed below this rank, even if targets are ejected or full. This
#: bounds a flow search: each generation of the target set adds at most this many
#: targets.
PLACEMENT_WINDOW = 16

#: Up to this many targets, every one is a candidate.
ALL_CANDIDATES = 8

#: A datagram flow leaves its first-ranked target only above this multiple of the mean
#: load. Datagrams have no reset that would show which target holds the flow once both
#: bindings are lost.
DATAGRAM_LOAD_BOUND = 1.25

#: Flows above that multiple that are still allowed: on a host with few flows a single
#: one would exceed it.
DATAGRAM_SLACK = 8

#: Multiple of the mean load that the last healthy targets carry before excluded targets
#: are used again.
PANIC_LOAD = 4.0

UDP = 17


def rank_targets(flow: FlowKey, rows: list[TargetRow]) -> list[TargetRow]:
    """Return target rows from the highest rendezvous weight to the lowest."""
    # Inlines `score` to avoid a function call per target of each new flow.
    return sorted(rows, key=lambda row: xxh64_intdigest(flow, row.seed), reverse=True)


def placement_window(flow: FlowKey, account: AccountRow, now: float) -> list[TargetRow]:
    """Return the ranked targets that may take the flow by configuration."""
    placeable = [
        row
        for row in account.targets
        if row.target.leaving_revision is None and row.placeable_from <= now
    ]
    return rank_targets(flow, placeable)[:PLACEMENT_WINDOW]


def own_flow_weight(tables: Tables) -> float:
    """Return how many flows over all hosts one flow of this host represents.

    All owners see the same target as the emptiest. If each made up the whole difference
    by itself, they would all place new flows there until it is the fullest. The counts
    of peers therefore have a limited weight, and none once they are old.
    """
    weight = tables.loads.weight
    hosts = len(tables.owners.members)
    return (1.0 - weight) * hosts + weight * (1 + tables.silent_peers)


def estimated_flows(tables: Tables, row: TargetRow) -> float:
    """Return the estimated open flows of a target over all hosts."""
    return row.flows * own_flow_weight(tables) + row.remote_flows * tables.loads.weight


def usable_targets(
    tables: Tables, window: list[TargetRow], free: list[TargetRow], now: float
) -> list[TargetRow]:
    """Return the targets with room that are healthy enough for new flows.

    Health never excludes more than half of the targets: beyond that the fault may lie
    with this host's view, and the few remaining targets would be overloaded. The
    healthy ones are then still preferred until they carry ``PANIC_LOAD`` times the
    mean.
    """
    included = [row for row in window if not is_excluded(tables, row, now)]
    if len(included) == len(window):
        return free
    healthy = [row for row in free if row in included]
    if 2 * len(included) >= len(window):
        return healthy
    mean = sum(estimated_flows(tables, row) for row in window) / len(window)
    ceiling = PANIC_LOAD * (mean + 1.0)
    below_ceiling = [row for row in healthy if estimated_flows(tables, row) <= ceiling]
    return below_ceiling or free


def accepts_new_flow(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether configuration, health and limits let the target take a new flow."""
    configured = not row.target.leaving and row.placeable_from <= now
    is_healthy = not is_excluded(tables, row, now)
    return configured and is_healthy and has_room(tables, row)


def choose_target(
    tables: Tables,
    flow: FlowKey,
    account: AccountRow,
    tried: list[TargetRow],
    now: float,
) -> TargetRow | RefusalReason:
    """Return the target for a new flow, or the reason why there is none."""
    window = placement_window(flow, account, now)
    if window and not tried and flow[0] != UDP:
        # Fast path: usually the least loaded of all has room and is healthy, and the
        # others need no check.
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
    """Return the least loaded candidate; on a tie, the first in this host's zone.

    `estimated_flows` and `load_factor` are inlined here, since this loop takes a fifth
    of the time of a new flow.
    """
    own_weight, peer_weight = own_flow_weight(tables), tables.loads.weight
    zone = tables.zone
    best, lowest = candidates[0], float("inf")
    for row in candidates:
        flows = row.flows * own_weight + row.remote_flows * peer_weight + 1.0
        load = flows / row.target.max_connections
        if row.health.prober_reports is not None or row.warm_at > now:
            load *= load_factor(row, now)
        if load > lowest:
            continue
        if load < lowest or row.target.zone == zone != best.target.zone:
            best, lowest = row, load
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
    """Return every target that may hold an unknown flow, the most likely first.

    A target qualifies if at some revision of its interval [added, leaving) fewer than
    ``PLACEMENT_WINDOW`` placeable targets ranked above it. Targets that have been
    removed are no longer counted against lower ranks, which can only lengthen the list.
    With n targets grown from m, the list has about
    ``PLACEMENT_WINDOW * (1 + ln(n / m))`` entries.
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
    """Return how many of the current targets took new flows at a revision."""
    return sum(was_placeable(row, revision) for row in account.targets)


def was_placeable(row: TargetRow, revision: int) -> bool:
    """Whether the target took new flows at a revision."""
    left = row.target.leaving_revision
    return row.target.added_revision <= revision and (left is None or revision < left)
