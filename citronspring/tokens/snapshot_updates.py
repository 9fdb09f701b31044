"""Applying the snapshot of a peer, from which a host starts without the store."""

from __future__ import annotations

from citronspring.events import COPY_TAKEN
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.change_feed import start_change_log
from citronspring.tokens.entry_updates import apply_change, apply_list
from citronspring.tokens.messages import Log
from citronspring.tokens.store_reader import restart_list

if TYPE_CHECKING:
    from citronspring.tokens.entries import Entry
    from citronspring.tokens.messages import Action, PeerSnapshot
    from citronspring.tokens.tables import Tables


def apply_snapshot(
    tables: Tables,
    snapshot: PeerSnapshot,
    sent_at: float,
    now: float,
    actions: list[Action],
) -> None:
    """Apply a peer's snapshot; the store is asked for what came after it.

    The snapshot keeps the age of the peer's state, so one from a peer that is
    partitioned as well makes nothing current. It may be older than what this host has
    listed. The store's history is then read again from its revision, as it may contain
    targets that have been removed since.
    """
    reader = tables.reader
    entries: list[Entry] = [snapshot.configuration, *snapshot.entries]
    if snapshot.complete:
        apply_list(tables, entries, snapshot.revision, now, actions)
    else:
        # The snapshot may just have omitted what is missing.
        for entry in entries:
            apply_change(tables, entry, now, actions)
    restart_list(tables)
    # A watch reports only changes, so what a peer has omitted must be listed.
    reader.listed = snapshot.complete
    reader.consistent_from = max(reader.revision, snapshot.revision)
    reader.revision = snapshot.revision
    reader.consistent = snapshot.complete and reader.revision == reader.consistent_from
    start_change_log(tables)
    reader.current_at = max(reader.current_at, sent_at - snapshot.age)
    reader.call_at = now
    fields: dict[str, object] = {
        "configuration": snapshot.configuration.revision,
        "entries": len(snapshot.entries),
        "age": round(snapshot.age, 3),
    }
    actions.append(Log(COPY_TAKEN.number, fields))
