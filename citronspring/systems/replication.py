"""Replication of change records to every host, despite loss and reordering.

New records are pushed to random hosts. Every ping carries the revision, so that a host
that missed a record requests it. Records are applied strictly in order.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, TypeVar

from citronspring.control.messages import Records, RecordsRequest, SnapshotRequest
from citronspring.control.tables import PushRow, sample
from citronspring.entities import HostState
from citronspring.messages import ReadPlatform, SendControl
from citronspring.rendezvous import ranked
from citronspring.systems.dissemination import present_hosts
from citronspring.systems.revisions import apply_records, apply_snapshot
from citronspring.systems.snapshot_transfer import (
    join_account_pieces,
    send_snapshot_parts,
    split_account,
)

if TYPE_CHECKING:
    from citronspring.entities import ChangeRecord, Snapshot
    from citronspring.messages import Action
    from citronspring.tables import Tables

Row = TypeVar("Row")

#: Applied records that are kept to fill gaps of other hosts.
MAX_RECENT_RECORDS = 256

#: Maximum number of records, and of pieces, that wait for an earlier record.
MAX_OUT_OF_ORDER_RECORDS = 256

#: Messages with which each host pushes a new record.
MAX_PUSHES = 4

#: Seconds between two rounds of pushes, and hosts a record is sent to in each.
PUSH_INTERVAL = 0.2
PUSH_FANOUT = 2

#: Records pushed in one round, the oldest first.
RECORDS_PER_PUSH = 4

#: Seconds a peer has to fill a gap before another is asked.
REQUEST_INTERVAL = 0.25

#: Records in one answer to a request.
RECORDS_PER_ANSWER = 8

#: Hosts of a zone that read the platform. One would be enough; with two, the death of
#: one has no effect.
READERS_PER_ZONE = 2

#: Seconds between two choices of readers.
CHOOSE_INTERVAL = 1.0

#: Seconds between two reads of the platform by a reader, in addition to its watch.
READ_INTERVAL = 10.0

#: Seconds without a message from any peer after which a host reads the platform itself.
ISOLATION_TIMEOUT = 1.5


# Timers ------------------------------------------------------------------------


def run_replication(tables: Tables, now: float, actions: list[Action]) -> None:
    """Push new records, choose readers and request reads."""
    replication = tables.replication
    if now >= replication.next_push_at:
        replication.next_push_at = now + PUSH_INTERVAL
        push(tables, actions)
    if now >= replication.choose_readers_at and has_member_list(tables, now):
        replication.choose_readers_at = now + CHOOSE_INTERVAL
        choose_readers(tables, now)
    if (
        replication.is_reader or is_isolated(tables, now)
    ) and now >= replication.read_at:
        replication.read_at = now + READ_INTERVAL
        actions.append(ReadPlatform(tables.revision))


def has_member_list(tables: Tables, now: float) -> bool:
    """Whether the member list is complete, or no peer seems to have one.

    A host that knows only its seeds would consider itself a reader: in a fleet that
    starts at once, every host would then call the platform.
    """
    join = tables.membership.join
    return join is None or join.last or is_isolated(tables, now)


def choose_readers(tables: Tables, now: float) -> None:
    """Determine whether this host reads the platform for its zone.

    Correctness does not depend on it: with different membership views there may be more
    readers or none for a while, which costs a few reads or a few seconds.
    """
    candidates = [
        host_id
        for host_id, row in tables.hosts.items()
        if row.host.zone == tables.zone
        and row.state in (HostState.ALIVE, HostState.SUSPECT)
    ]
    order = ranked(f"reader:{tables.zone}".encode(), candidates)
    chosen = tables.host_id in order[:READERS_PER_ZONE]
    if chosen and not tables.replication.is_reader:
        tables.replication.read_at = now
    tables.replication.is_reader = chosen


def is_isolated(tables: Tables, now: float) -> bool:
    """Whether no peer could have sent this host a change for a while."""
    heard_at = tables.membership.heard_at
    started_at = tables.membership.started_at
    last = started_at if heard_at is None else heard_at
    return last is not None and now - last >= ISOLATION_TIMEOUT


def push(tables: Tables, actions: list[Action]) -> None:
    """Send new records to hosts that are not known to have them."""
    replication = tables.replication
    for revision in sorted(replication.pushes)[:RECORDS_PER_PUSH]:
        row = replication.pushes[revision]
        behind = [
            host_id
            for host_id in present_hosts(tables)
            if tables.hosts[host_id].revision < revision
        ]
        for peer in sample(tables.membership.rng, behind, PUSH_FANOUT):
            send_records(peer, (row.record,), actions)
            row.sent += 1
        if not behind or row.sent >= MAX_PUSHES:
            del replication.pushes[revision]


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
    pieces = split_account(record.account)
    return [
        Records((replace(record, account=piece),), part, len(pieces))
        for part, piece in enumerate(pieces)
    ]


# Messages ----------------------------------------------------------------------


def note_peer_revision(
    tables: Tables, sender: str, revision: int, now: float, actions: list[Action]
) -> None:
    """Record a peer's revision and request the records missing here."""
    row = tables.hosts[sender]
    row.revision = max(row.revision, revision)
    if revision > tables.revision:
        ask_for_records(tables, sender, now, actions)


def ask_for_records(
    tables: Tables, peer: str, now: float, actions: list[Action]
) -> None:
    """Request the records that follow, unless a request was sent just before."""
    replication = tables.replication
    if now < replication.request_at or replication.bulk is not None:
        return
    replication.request_at = now + REQUEST_INTERVAL
    actions.append(SendControl(peer, RecordsRequest(tables.revision)))


def receive_records_request(
    tables: Tables,
    sender: str,
    message: RecordsRequest,
    now: float,
    actions: list[Action],
) -> None:
    """Send the records that follow, or a snapshot if they are no longer kept."""
    recent = tables.replication.recent
    first = message.after_revision + 1
    if first > tables.revision:
        return
    if first not in recent:
        send_snapshot_parts(tables, sender, SnapshotRequest(0, 0), now, actions)
        return
    last = min(tables.revision, message.after_revision + RECORDS_PER_ANSWER)
    records = tuple(recent[revision] for revision in range(first, last + 1))
    send_records(sender, records, actions)


def receive_records(
    tables: Tables, sender: str, message: Records, now: float, actions: list[Action]
) -> None:
    """Accept records, or one piece of a large record."""
    records = collect_piece(tables, message) if message.parts > 1 else message.records
    if records:
        last = max(record.revision for record in records)
        row = tables.hosts[sender]
        row.revision = max(row.revision, last)
    accept_records(tables, records, now)
    if tables.replication.out_of_order:
        ask_for_records(tables, sender, now, actions)


def collect_piece(tables: Tables, message: Records) -> tuple[ChangeRecord, ...]:
    """Store one piece of a record; return the record once it is complete."""
    record = message.records[0]
    pieces = tables.replication.pieces
    if record.revision <= tables.revision or record.account is None:
        return ()
    if record.revision not in pieces and len(pieces) >= MAX_OUT_OF_ORDER_RECORDS:
        pieces.pop(max(pieces))
    received = pieces.setdefault(record.revision, {})
    received[message.part] = message
    if len(received) < message.parts:
        return ()
    del pieces[record.revision]
    accounts = [received[part].records[0].account for part in sorted(received)]
    [joined] = join_account_pieces(
        [account for account in accounts if account is not None]
    )
    return (replace(record, account=joined),)


# Applying ----------------------------------------------------------------------


def accept_records(
    tables: Tables, records: tuple[ChangeRecord, ...], now: float
) -> None:
    """Apply records in order; those after a gap wait until it is filled."""
    replication = tables.replication
    for record in records:
        if record.revision > tables.revision:
            replication.out_of_order[record.revision] = record
    while len(replication.out_of_order) > MAX_OUT_OF_ORDER_RECORDS:
        del replication.out_of_order[max(replication.out_of_order)]
    while tables.revision + 1 in replication.out_of_order:
        following = replication.out_of_order.pop(tables.revision + 1)
        apply_records(tables, (following,), now)
        keep_record(tables, following)


def keep_record(tables: Tables, record: ChangeRecord) -> None:
    """Keep an applied record for other hosts and queue it for pushing."""
    replication = tables.replication
    replication.recent[record.revision] = record
    replication.recent.pop(record.revision - MAX_RECENT_RECORDS, None)
    replication.pushes[record.revision] = PushRow(record)
    replication.pieces.pop(record.revision, None)
    tables.counters["revisions.applied"] += 1


def accept_snapshot(tables: Tables, snapshot: Snapshot, now: float) -> None:
    """Apply a snapshot, then the records that waited for it."""
    if not apply_snapshot(tables, snapshot, now):
        return
    replication = tables.replication
    # The records before the snapshot are unknown to this host. With a gap in the kept
    # records, a peer would skip the missing ones.
    replication.recent.clear()
    replication.pushes.clear()
    drop_old(replication.out_of_order, tables.revision)
    drop_old(replication.pieces, tables.revision)
    accept_records(tables, (), now)


def drop_old(waiting: dict[int, Row], revision: int) -> None:
    """Drop entries up to a revision that is already applied."""
    for key in [key for key in waiting if key <= revision]:
        del waiting[key]
