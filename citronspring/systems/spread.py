"""Spread: how change records reach every host, whatever is lost or reordered.

New records are pushed to random hosts; every ping carries the revision, so that a
host that missed one asks for it. Nothing is applied out of order.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, TypeVar

from citronspring.control.messages import Records, RecordsRequest, SnapshotRequest
from citronspring.control.tables import PushRow, sample
from citronspring.entities import HostState
from citronspring.messages import ReadPlatform, SendControl
from citronspring.rendezvous import ranked
from citronspring.systems.bulk import join_pieces, offer_bulk, slices
from citronspring.systems.dissemination import present_hosts
from citronspring.systems.revisions import apply_records, apply_snapshot

if TYPE_CHECKING:
    from citronspring.entities import ChangeRecord, Snapshot
    from citronspring.messages import Action
    from citronspring.tables import Tables

Row = TypeVar("Row")

#: Applied records that are kept to fill other hosts' gaps.
RECENT_RECORDS = 256

#: Records and pieces that may wait for an earlier record.
EARLY_RECORDS = 256

#: Messages a new record goes out with from each host.
PUSHES = 4

#: Seconds between two rounds of pushes, and hosts a record goes to in one.
PUSH_INTERVAL = 0.2
PUSH_FANOUT = 2

#: Records pushed in one round, the oldest first.
PUSHED_RECORDS = 4

#: Seconds a peer has to fill a gap before another is asked.
REQUEST_INTERVAL = 0.25

#: Records in one answer to a request.
ANSWERED_RECORDS = 8

#: Hosts of a zone that read the platform. One would do; two let one die unnoticed.
READERS_PER_ZONE = 2

#: Seconds between two choices of readers.
CHOOSE_INTERVAL = 1.0

#: Seconds between two reads of the platform by a reader, beside its watch.
READ_INTERVAL = 10.0

#: Seconds without a word from any peer after which a host reads for itself.
ALONE_TIME = 1.5


# On time -----------------------------------------------------------------------


def run_spread(tables: Tables, now: float, actions: list[Action]) -> None:
    """Push what is new, choose readers and have them read."""
    spread = tables.spread
    if now >= spread.next_push_at:
        spread.next_push_at = now + PUSH_INTERVAL
        push(tables, actions)
    if now >= spread.choose_readers_at and knows_members(tables, now):
        spread.choose_readers_at = now + CHOOSE_INTERVAL
        choose_readers(tables, now)
    if (spread.is_reader or is_alone(tables, now)) and now >= spread.read_at:
        spread.read_at = now + READ_INTERVAL
        actions.append(ReadPlatform(tables.revision))


def knows_members(tables: Tables, now: float) -> bool:
    """Whether the member list is here, or nobody seems to have one.

    A host that knows only its seeds would take itself for a reader: a fleet that
    starts at once would then call the platform from every host.
    """
    join = tables.membership.join
    return join is None or join.last or is_alone(tables, now)


def choose_readers(tables: Tables, now: float) -> None:
    """Find out whether this host reads the platform for its zone.

    Nothing correct rests on it: two views may choose more readers or none for a
    while, which costs a few reads or a few seconds.
    """
    candidates = [
        host_id
        for host_id, row in tables.hosts.items()
        if row.host.zone == tables.zone
        and row.state in (HostState.ALIVE, HostState.SUSPECT)
    ]
    order = ranked(f"reader:{tables.zone}".encode(), candidates)
    chosen = tables.host_id in order[:READERS_PER_ZONE]
    if chosen and not tables.spread.is_reader:
        tables.spread.read_at = now
    tables.spread.is_reader = chosen


def is_alone(tables: Tables, now: float) -> bool:
    """Whether no peer could have told this host of a change for a while."""
    heard_at = tables.membership.heard_at
    started_at = tables.membership.started_at
    last = started_at if heard_at is None else heard_at
    return last is not None and now - last >= ALONE_TIME


def push(tables: Tables, actions: list[Action]) -> None:
    """Send new records to hosts that are not known to have them."""
    spread = tables.spread
    for revision in sorted(spread.pushes)[:PUSHED_RECORDS]:
        row = spread.pushes[revision]
        behind = [
            host_id
            for host_id in present_hosts(tables)
            if tables.hosts[host_id].revision < revision
        ]
        for peer in sample(tables.membership.rng, behind, PUSH_FANOUT):
            send_records(peer, (row.record,), actions)
            row.sent += 1
        if not behind or row.sent >= PUSHES:
            del spread.pushes[revision]


def send_records(
    peer: str, records: tuple[ChangeRecord, ...], actions: list[Action]
) -> None:
    """Send records, each in as many messages as it needs."""
    for record in records:
        for message in pieces_of(record):
            actions.append(SendControl(peer, message))


def pieces_of(record: ChangeRecord) -> list[Records]:
    """Return the messages that carry one record."""
    if record.account is None:
        return [Records((record,))]
    pieces = slices(record.account)
    return [
        Records((replace(record, account=piece),), part, len(pieces))
        for part, piece in enumerate(pieces)
    ]


# On messages -------------------------------------------------------------------


def hear_of_revision(
    tables: Tables, sender: str, revision: int, now: float, actions: list[Action]
) -> None:
    """Note a peer's revision, and ask for what is missing here."""
    row = tables.hosts[sender]
    row.revision = max(row.revision, revision)
    if revision > tables.revision:
        ask_for_records(tables, sender, now, actions)


def ask_for_records(
    tables: Tables, peer: str, now: float, actions: list[Action]
) -> None:
    """Ask a peer for the records that follow, unless another was asked just now."""
    spread = tables.spread
    if now < spread.request_at or spread.bulk is not None:
        return
    spread.request_at = now + REQUEST_INTERVAL
    actions.append(SendControl(peer, RecordsRequest(tables.revision)))


def receive_records_request(
    tables: Tables,
    sender: str,
    message: RecordsRequest,
    now: float,
    actions: list[Action],
) -> None:
    """Send the records that follow; a whole copy where they are no longer kept."""
    recent = tables.spread.recent
    first = message.after_revision + 1
    if first > tables.revision:
        return
    if first not in recent:
        offer_bulk(tables, sender, SnapshotRequest(0, 0), now, actions)
        return
    last = min(tables.revision, message.after_revision + ANSWERED_RECORDS)
    records = tuple(recent[revision] for revision in range(first, last + 1))
    send_records(sender, records, actions)


def receive_records(
    tables: Tables, sender: str, message: Records, now: float, actions: list[Action]
) -> None:
    """Take records, or one piece of a large one."""
    records = take_piece(tables, message) if message.parts > 1 else message.records
    if records:
        last = max(record.revision for record in records)
        row = tables.hosts[sender]
        row.revision = max(row.revision, last)
    accept_records(tables, records, now)
    if tables.spread.out_of_order:
        ask_for_records(tables, sender, now, actions)


def take_piece(tables: Tables, message: Records) -> tuple[ChangeRecord, ...]:
    """Keep one piece; return the record once all are here."""
    record = message.records[0]
    pieces = tables.spread.pieces
    if record.revision <= tables.revision or record.account is None:
        return ()
    if record.revision not in pieces and len(pieces) >= EARLY_RECORDS:
        pieces.pop(max(pieces))
    received = pieces.setdefault(record.revision, {})
    received[message.part] = message
    if len(received) < message.parts:
        return ()
    del pieces[record.revision]
    accounts = [received[part].records[0].account for part in sorted(received)]
    [whole] = join_pieces([account for account in accounts if account is not None])
    return (replace(record, account=whole),)


# Applying ----------------------------------------------------------------------


def accept_records(
    tables: Tables, records: tuple[ChangeRecord, ...], now: float
) -> None:
    """Apply records in order; what comes too early waits for the gap to fill."""
    spread = tables.spread
    for record in records:
        if record.revision > tables.revision:
            spread.out_of_order[record.revision] = record
    while len(spread.out_of_order) > EARLY_RECORDS:
        del spread.out_of_order[max(spread.out_of_order)]
    while tables.revision + 1 in spread.out_of_order:
        following = spread.out_of_order.pop(tables.revision + 1)
        apply_records(tables, (following,), now)
        remember(tables, following)


def remember(tables: Tables, record: ChangeRecord) -> None:
    """Keep an applied record for others, and push it on."""
    spread = tables.spread
    spread.recent[record.revision] = record
    spread.recent.pop(record.revision - RECENT_RECORDS, None)
    spread.pushes[record.revision] = PushRow(record)
    spread.pieces.pop(record.revision, None)
    tables.counters["revisions.applied"] += 1


def accept_snapshot(tables: Tables, snapshot: Snapshot, now: float) -> None:
    """Take a whole configuration, then the records that waited for it."""
    if not apply_snapshot(tables, snapshot, now):
        return
    spread = tables.spread
    # Records before the copy are not known here: a range with a gap would make
    # a peer skip what is missing.
    spread.recent.clear()
    spread.pushes.clear()
    drop_old(spread.out_of_order, tables.revision)
    drop_old(spread.pieces, tables.revision)
    accept_records(tables, (), now)


def drop_old(waiting: dict[int, Row], revision: int) -> None:
    """Drop what waits for a revision that is in force."""
    for key in [key for key in waiting if key <= revision]:
        del waiting[key]
