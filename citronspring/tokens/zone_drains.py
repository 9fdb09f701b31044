"""Drains of zones: applying them, and finding those that a list no longer has."""

from __future__ import annotations

from citronspring.events import ZONE_DRAIN_CHANGED
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.entries import ZoneDrain, is_of_earlier_epoch
from citronspring.tokens.messages import Log

if TYPE_CHECKING:
    from citronspring.tokens.messages import Action
    from citronspring.tokens.tables import Tables


def apply_zone_drain(tables: Tables, drain: ZoneDrain, actions: list[Action]) -> None:
    """Apply the drain state of a zone, unless a newer one is known.

    The end of a drain is kept like its beginning. Otherwise a late answer that still
    contains the drain would leave the zone unused until it is drained again.
    """
    known = tables.zone_drains.get(drain.zone)
    if known is not None and known.revision >= drain.revision:
        return
    tables.zone_drains[drain.zone] = drain
    fields: dict[str, object] = {
        "zone": drain.zone,
        "drained": not drain.ended,
        "revision": drain.revision,
        "targets": sum(
            row.target.zone == drain.zone and row.gone_at == INFINITY
            for row in tables.targets.values()
        ),
    }
    actions.append(Log(ZONE_DRAIN_CHANGED.number, fields))


def missing_drains(tables: Tables, listed: set[str], revision: int) -> list[ZoneDrain]:
    """Return the ends of the drains that a list of all entries lacks.

    ``listed`` are the drained zones of the list, ``revision`` that of the list. A drain
    that a restored store has lost goes on until operators had time to renew it.
    """
    ends = []
    for zone in tables.drained_zones:
        drained_since = tables.zone_drains[zone].revision
        lost_in_restore = is_of_earlier_epoch(drained_since, revision)
        if zone not in listed and drained_since <= revision and not lost_in_restore:
            ends.append(ZoneDrain(zone, revision, ended=True))
    return ends
