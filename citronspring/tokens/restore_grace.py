"""Grace period for entries that a store lacks after a restore from a backup.

Targets and operators rewrite what the store has lost. Until they have had time for
that, a missing drain does not mean that the zone may be used again, and a service that
lacks most of its targets has not lost them.
"""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING, Counter
from citronspring.tokens.entries import (
    TargetRemoved,
    ZoneDrain,
    epoch_of,
    is_of_earlier_epoch,
)
from citronspring.tokens.entry_updates import apply_change, remove_target

if TYPE_CHECKING:
    from citronspring.tokens.messages import Action
    from citronspring.tokens.tables import Tables

#: Seconds after which a running target has rewritten its entry: two, and half a second
#: until the entry arrives at this host.
TARGET_REWRITE_GRACE = 2.5

#: Seconds that operators have to renew the drain of a zone, or a newer configuration.
#: How soon they do so is unknown. If the period is too short, a drained zone gets
#: flows; if it is too long, a zone stays unused, and missing routes are not refused.
OPERATOR_REWRITE_GRACE = 10.0

#: Share of a service's targets that the store must hold for the missing ones to count
#: as removed immediately.
MIN_PRESENT_RATIO = 0.5


def start_restore_grace(tables: Tables, revision: int, now: float) -> None:
    """Start the grace period for missing entries, once per restore epoch."""
    grace = tables.restore_grace
    if grace.epoch == epoch_of(revision):
        return
    grace.epoch = epoch_of(revision)
    grace.targets_deadline = now + TARGET_REWRITE_GRACE
    grace.operators_deadline = now + OPERATOR_REWRITE_GRACE


def services_missing_targets(tables: Tables, revision: int) -> set[str]:
    """Return the services of which a list holds less than half of the known targets.

    Most of what such a list lacks was lost with the restore, and the targets that it
    holds would have to carry the whole load. In other services a missing target has
    just as likely stopped and must get no more flows.
    """
    known: Counter[str] = Counter()
    present: Counter[str] = Counter()
    for row in tables.targets.values():
        target = row.target
        if row.gone_at == INFINITY and not target.leaving:
            known[target.service] += 1
            present[target.service] += not is_of_earlier_epoch(
                target.revision, revision
            )
    return {
        name
        for name, count in known.items()
        if present[name] < MIN_PRESENT_RATIO * count
    }


def expired_entries(tables: Tables, now: float) -> list[TargetRemoved | ZoneDrain]:
    """Return removals for the entries that were not rewritten in time."""
    grace, revision = tables.restore_grace, tables.reader.revision
    removals: list[TargetRemoved | ZoneDrain] = []
    if now >= grace.targets_deadline:
        grace.targets_deadline = INFINITY
        removals += [
            TargetRemoved(row.target.target_id, revision)
            for row in tables.targets.values()
            if row.gone_at == INFINITY
            and is_of_earlier_epoch(row.target.revision, revision)
        ]
    if now >= grace.operators_deadline:
        grace.operators_deadline = INFINITY
        removals += [
            ZoneDrain(zone, revision, ended=True)
            for zone in tables.drained_zones
            if is_of_earlier_epoch(tables.zone_drains[zone].revision, revision)
        ]
    return removals


def expire_missing_entries(tables: Tables, now: float, actions: list[Action]) -> None:
    """Remove the entries that were not rewritten in time.

    Followers do this by themselves. One that started since then may hold an entry that
    the restored store has for the same target.
    """
    for removal in expired_entries(tables, now):
        match removal:
            case TargetRemoved():
                remove_target(tables, removal, now, actions)
            case ZoneDrain():
                apply_change(tables, removal, now, actions)
