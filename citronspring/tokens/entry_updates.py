"""Applying entries of the store and their removals, by ascending revision."""

from __future__ import annotations

from citronspring.events import (
    ENTRY_UNREADABLE,
    TARGET_CHANGED,
    TARGET_REMOVED,
    TOKEN_TAKEN,
)
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.election import apply_zone_reader, remove_zone_reader
from citronspring.tokens.entities import token_of
from citronspring.tokens.entries import (
    Configuration,
    ConfigurationChange,
    ReaderRemoved,
    RouteHistory,
    Target,
    TargetRemoved,
    Unreadable,
    ZoneDrain,
    ZoneReader,
    is_of_earlier_epoch,
    with_revision,
)
from citronspring.tokens.messages import Log
from citronspring.tokens.placement import (
    list_under_service,
    placement_order,
    release_token,
    tie_break_rank,
    unlist_from_service,
)
from citronspring.tokens.routes import (
    apply_configuration,
    apply_configuration_change,
)
from citronspring.tokens.rows import TargetRow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citronspring.tokens.entries import Change, Entry
    from citronspring.tokens.messages import Action
    from citronspring.tokens.tables import Tables

#: Seconds for which flows to a target without an entry are still forwarded. The target
#: may be running without reaching the store, or may be leaving and serve for many more
#: seconds. Packets name the incarnation, so that no other target accepts them.
GONE_RETENTION = 30.0


def apply_and_log(
    tables: Tables,
    change: Change | ConfigurationChange,
    now: float,
    actions: list[Action],
) -> None:
    """Apply a change of the store, and log it for followers.

    It is logged also if it changes nothing here. This host may have read it on a page
    of its list, or may never have known a target that is removed, while its followers
    have read other lists.
    """
    pending = tables.change_log.pending
    match change:
        case Configuration():
            difference = apply_configuration(tables, change, now, actions)
            if difference is not None:
                pending.append(difference)
            return
        case Unreadable(started=None, shard=None):
            # It changes nothing at any host.
            pass
        case _:
            pending.append(change)
    apply_change(tables, change, now, actions)


def apply_change(
    tables: Tables,
    change: Change | ConfigurationChange,
    now: float,
    actions: list[Action],
) -> None:
    """Apply an entry or a removal, unless a newer one has been applied."""
    match change:
        case ZoneReader():
            apply_zone_reader(tables, change, actions)
        case ReaderRemoved():
            remove_zone_reader(tables, change, actions)
        case ZoneDrain():
            # Imported when a zone was drained; starting a host rarely needs it.
            from citronspring.tokens.zone_drains import apply_zone_drain

            apply_zone_drain(tables, change, actions)
        case RouteHistory():
            # Imported when the store has a route history; most have none.
            from citronspring.tokens.route_history import apply_route_history

            apply_route_history(tables, change, now, actions)
        case Configuration():
            apply_configuration(tables, change, now, actions)
        case ConfigurationChange():
            apply_configuration_change(tables, change, now, actions)
        case TargetRemoved():
            remove_target(tables, change, now, actions)
            tables.ignored_entries.discard(change.target_id)
            forget_earlier_start(tables, change.target_id, change.revision)
        case Target():
            apply_target(tables, change, now, actions)
            note_ignored(tables, change.target_id, change.revision)
        case Unreadable():
            apply_unreadable(tables, change, now, actions)
            if change.shard is None:
                note_ignored(tables, change.name, change.revision)


def forget_earlier_start(tables: Tables, target_id: str, revision: int) -> None:
    """Forget an entry of an earlier start that a newer change has replaced."""
    earlier = tables.earlier_starts.get(target_id)
    if earlier is not None and earlier.target.revision <= revision:
        del tables.earlier_starts[target_id]


def note_ignored(tables: Tables, target_id: str, revision: int) -> None:
    """Record whether a target's entry in the store is ignored here."""
    row = tables.targets.get(target_id)
    if row is None or row.gone_at != INFINITY or row.target.revision < revision:
        tables.ignored_entries.add(target_id)
    else:
        tables.ignored_entries.discard(target_id)


def apply_target(
    tables: Tables, target: Target, now: float, actions: list[Action]
) -> None:
    """Apply a target's entry, unless it is outdated."""
    row = tables.targets.get(target.target_id)
    if row is None:
        row = add_target(tables, target, actions)
        row.known_at = now
    elif is_outdated(row, target):
        return
    elif is_of_earlier_start(row, target):
        # Imported when an entry of an earlier start is read; most hosts never do.
        from citronspring.tokens.restarts import note_earlier_start

        note_earlier_start(tables, target, now)
        return
    elif is_of_later_start(row, target.started):
        # Imported when a target has restarted; starting a host does not need it.
        from citronspring.tokens.restarts import replace_start

        row = replace_start(tables, row, target, actions)
        row.known_at = now
    forget_earlier_start(tables, target.target_id, target.revision)
    update_row(tables, row, target, now, actions)


def update_row(
    tables: Tables, row: TargetRow, target: Target, now: float, actions: list[Action]
) -> None:
    """Update the row of a target by a newer entry of the same start."""
    if repeats_known_state(row, target):
        target = with_revision(row.target, target.revision)
    else:
        row.warm_at = now + target.warmup
    was_leaving = row.target.leaving
    returned = row.gone_at != INFINITY
    row.target = target
    row.order = placement_order(row)
    row.gone_at = INFINITY
    list_under_service(tables, row)
    if was_leaving != target.leaving or returned or row.flows == 0:
        log_target(row, actions)


def is_outdated(row: TargetRow, target: Target) -> bool:
    """Whether an entry is not newer than what is known of a target."""
    if row.gone_at != INFINITY:
        return target.revision < row.target.revision
    return target.revision <= row.target.revision


def repeats_known_state(row: TargetRow, target: Target) -> bool:
    """Whether a restored store repeats a state that the target has replaced.

    The entry has a new revision, since the restored store reuses them. Applied, it
    could give flows to a target that has announced since then that it leaves; the
    target's own sequence number shows that the entry is old.
    """
    known = row.target
    return (
        is_of_earlier_epoch(known.revision, target.revision)
        and known.started == target.started
        and target.sequence <= known.sequence
    )


def is_of_earlier_start(row: TargetRow, target: Target) -> bool:
    """Whether an entry does not belong to the known start of the target.

    A write may take effect seconds after its writer has ended. One of an earlier start
    would bring back an outdated address or state. But the clock of the target's machine
    may also have jumped back between two starts; see `adopt_earlier_starts`. An entry
    without a start time, from another program, cannot replace one that has one.
    """
    known = row.target.started
    return known is not None and (target.started is None or target.started < known)


def is_of_later_start(row: TargetRow, started: int | None) -> bool:
    """Whether a start time of a target is later than the known one."""
    known = row.target.started
    return known is not None and started is not None and started > known


def apply_unreadable(
    tables: Tables, entry: Unreadable, now: float, actions: list[Action]
) -> None:
    """Handle an entry that cannot be decoded.

    The last valid entry of the target stays in effect: the target rewrites its entry
    within a heartbeat, and other programs must not be able to take its flows away. If
    the entry shows that the target has restarted, the last valid entry is outdated and
    is removed.
    """
    fields: dict[str, object] = {"entry": entry.name, "reason": entry.reason}
    actions.append(Log(ENTRY_UNREADABLE.number, fields))
    if entry.shard is not None:
        from citronspring.tokens.route_history import apply_unreadable_shard

        apply_unreadable_shard(tables, entry.shard, entry.revision, now, actions)
        return
    row = tables.targets.get(entry.name)
    if row is None or not is_of_later_start(row, entry.started):
        return
    remove_target(tables, TargetRemoved(entry.name, entry.revision), now, actions)


def add_target(tables: Tables, target: Target, actions: list[Action]) -> TargetRow:
    """Create the row of a new target."""
    row = TargetRow(target, token_of(target.incarnation))
    row.rank = tie_break_rank(tables.host_id, target.target_id)
    row.order = placement_order(row)
    tables.targets[target.target_id] = row
    holder = tables.by_token.setdefault(row.token, row)
    if holder is not row:
        fields: dict[str, object] = {
            "target": target.target_id,
            "holder": holder.target.target_id,
        }
        actions.append(Log(TOKEN_TAKEN.number, fields))
    return row


def log_target(row: TargetRow, actions: list[Action]) -> None:
    """Log the state of a target."""
    target = row.target
    fields: dict[str, object] = {
        "target": target.target_id,
        "service": target.service,
        "zone": target.zone,
        "leaving": target.leaving,
        "revision": target.revision,
    }
    actions.append(Log(TARGET_CHANGED.number, fields))


def remove_target(
    tables: Tables, removed: TargetRemoved, now: float, actions: list[Action]
) -> None:
    """Remove a target's entry; its flows are still forwarded for a while."""
    row = tables.targets.get(removed.target_id)
    if row is None or row.gone_at != INFINITY:
        return
    if removed.revision < row.target.revision:
        return
    row.gone_at = now
    unlist_from_service(tables, row)
    fields: dict[str, object] = {
        "target": removed.target_id,
        "revision": removed.revision,
        "flows": row.flows,
    }
    actions.append(Log(TARGET_REMOVED.number, fields))


def apply_list(
    tables: Tables,
    entries: Iterable[Entry],
    revision: int,
    now: float,
    actions: list[Action],
) -> None:
    """Apply a complete list; entries that are not in it are removed.

    Logged is what differs from the entries at the known revision, and not from the
    tables: a host ignores an entry that it cannot decode or that is of an earlier start
    of its target, while a follower that started later knows no other one.

    Parameters
    ----------
    tables : Tables
        All state.
    entries : iterable
        Every entry of the list.
    revision : int
        Revision of the store before the first page was read. A target that
        registered later may be on no page and is kept.
    now : float
        Current time in seconds.
    actions : list of Action
        Receives the resulting actions.
    """
    listed = set()
    readers = set()
    drained = set()
    shards: set[int | None] = set()
    known_revision = tables.reader.revision
    ignored_before = tables.ignored_entries
    tables.ignored_entries = set()
    for entry in entries:
        if isinstance(entry, Configuration) or entry.revision > known_revision:
            apply_and_log(tables, entry, now, actions)
        else:
            apply_change(tables, entry, now, actions)
        match entry:
            case Target():
                listed.add(entry.target_id)
            case ZoneReader():
                readers.add(entry.zone)
            case ZoneDrain():
                drained.add(entry.zone)
            case RouteHistory() if entry.revision:
                shards.add(entry.shard)
            case Unreadable():
                listed.add(entry.name)
                shards.add(entry.shard)
    incomplete_services = check_restored_services(tables, revision, now)
    for target_id, row in list(tables.targets.items()):
        known = row.target
        if target_id in listed or known.revision > revision:
            continue
        if row.gone_at != INFINITY:
            continue
        if known.service in incomplete_services and is_of_earlier_epoch(
            known.revision, revision
        ):
            continue
        apply_and_log(tables, TargetRemoved(target_id, revision), now, actions)
    for target_id in ignored_before - listed:
        tables.change_log.pending.append(TargetRemoved(target_id, revision))
        forget_earlier_start(tables, target_id, revision)
    for zone in tables.zone_readers.keys() - readers:
        apply_and_log(tables, ReaderRemoved(zone, revision), now, actions)
    if tables.zone_drains:
        from citronspring.tokens.zone_drains import missing_drains

        for end in missing_drains(tables, drained, revision):
            apply_and_log(tables, end, now, actions)
    if tables.route_history.shards:
        from citronspring.tokens.route_history import removed_shards

        for removal in removed_shards(tables, shards, revision):
            apply_and_log(tables, removal, now, actions)


def check_restored_services(tables: Tables, revision: int, now: float) -> set[str]:
    """Return the services of which a restored store lacks too many targets.

    This also starts the grace period for rewriting entries.
    """
    read_up_to = tables.reader.revision or revision
    revisions = [read_up_to, *known_revisions(tables)]
    if not any(is_of_earlier_epoch(one, revision) for one in revisions):
        return set()
    # Imported when the store was restored from a backup; starting a host does not need
    # it.
    from citronspring.tokens.restore_grace import (
        services_missing_targets,
        start_restore_grace,
    )

    start_restore_grace(tables, revision, now)
    return services_missing_targets(tables, revision)


def known_revisions(tables: Tables) -> list[int]:
    """Return the revisions of all registered targets and active drains."""
    rows = tables.targets.values()
    targets = [row.target.revision for row in rows if row.gone_at == INFINITY]
    drains = [tables.zone_drains[zone].revision for zone in tables.drained_zones]
    return targets + drains


def forget_targets(tables: Tables, now: float) -> None:
    """Delete targets that were removed long ago, together with their tokens."""
    for target_id, row in list(tables.targets.items()):
        if now - row.gone_at >= GONE_RETENTION:
            del tables.targets[target_id]
            release_token(tables, row)
