"""What a store that came back from an older copy lacks, until it is written again.

Targets and operators write again what the store has lost. Until they can have done so,
a missing entry is no sign that a zone may be used again, and of a service that lacks
most of its targets none that they are gone.
"""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING, Counter
from citronspring.tokens.entries import (
    TargetRemoved,
    ZoneDrain,
    epoch_of,
    is_of_earlier_epoch,
)
from citronspring.tokens.entry_updates import apply_change

if TYPE_CHECKING:
    from citronspring.tokens.messages import Action
    from citronspring.tokens.tables import Tables

#: Seconds after which a target that lives has written its entry again: two, and half a
#: second for its way here.
TARGET_REWRITE_GRACE = 2.5

#: Seconds for which operators may not have written again that a zone is drained, or a
#: newer configuration. Nobody says how soon they do. Too short, a drained zone gets
#: flows; too long, it stays unused, and missing routes are not refused.
OPERATOR_REWRITE_GRACE = 10.0

#: Share of a service's targets that the store must hold for the others to be taken as
#: gone at once.
MIN_PRESENT_RATIO = 0.5


def start_restore_grace(tables: Tables, revision: int, now: float) -> None:
    """Give entries that a list lacks their time, once in each epoch of the store."""
    grace = tables.restore_grace
    if grace.epoch == epoch_of(revision):
        return
    grace.epoch = epoch_of(revision)
    grace.targets_deadline = now + TARGET_REWRITE_GRACE
    grace.operators_deadline = now + OPERATOR_REWRITE_GRACE


def services_missing_targets(tables: Tables, revision: int) -> set[str]:
    """Return the services of which a list holds less than half of what was known.

    Most of what such a list lacks has been lost with the copy, and what it holds would
    have to carry all. Of other services it is as likely that a target has ended, which
    must not get flows any more.
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
    """Return the ends of what has not been written again in time."""
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
    """Take what nobody has written again in time for gone."""
    for removal in expired_entries(tables, now):
        apply_change(tables, removal, now, actions)
