"""Snapshot transfer: a host without configuration requests it from a peer."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from citronspring.control.messages import SnapshotPart, SnapshotRequest
from citronspring.control.tables import BulkRow, OfferRow, sample
from citronspring.entities import Account, Snapshot
from citronspring.messages import SendControl
from citronspring.systems.dissemination import present_hosts

if TYPE_CHECKING:
    from citronspring.messages import Action
    from citronspring.tables import Tables

#: Maximum numbers of targets and service addresses in one piece of an account. With
#: names of ordinary length a piece is smaller than the datagram that fits every path.
TARGETS_PER_PIECE = 18
ADDRESSES_PER_PIECE = 16

#: Maximum weight of one part; an account weighs one more than its number of targets.
PART_WEIGHT = 20

#: Parts requested at once, and seconds until one is requested again.
PARTS_IN_FLIGHT = 4
PART_RETRY = 0.3

#: Seconds between two checks of a peer's progress, and parts it must send in between;
#: otherwise another peer is asked. Hosts that start together know the same few peers at
#: first and would all wait for these.
PROGRESS_INTERVAL = 1.0
MIN_PARTS_PER_INTERVAL = 30

#: Seconds for which an offered snapshot is kept after the last request for it.
OFFER_LIFETIME = 30.0

#: Maximum number of snapshots offered at once.
MAX_OFFERS = 2

#: Rate of parts per second that one host sends to all peers together, and its burst in
#: seconds.
PARTS_PER_SECOND = 40.0
PARTS_BURST = 0.5


def split_account(account: Account) -> list[Account]:
    """Split an account into pieces that each fit a datagram."""
    targets, addresses = account.targets, account.addresses
    count = max(
        1,
        -(-len(targets) // TARGETS_PER_PIECE),
        -(-len(addresses) // ADDRESSES_PER_PIECE),
    )
    return [
        replace(
            account,
            targets=targets[part * TARGETS_PER_PIECE :][:TARGETS_PER_PIECE],
            addresses=addresses[part * ADDRESSES_PER_PIECE :][:ADDRESSES_PER_PIECE],
        )
        for part in range(count)
    ]


def join_account_pieces(pieces: list[Account]) -> tuple[Account, ...]:
    """Join accounts from their pieces, given in order."""
    joined: dict[str, Account] = {}
    for piece in pieces:
        start = joined.get(piece.account_id)
        if start is None:
            joined[piece.account_id] = piece
            continue
        joined[piece.account_id] = replace(
            start,
            targets=start.targets + piece.targets,
            addresses=start.addresses + piece.addresses,
        )
    return tuple(joined.values())


# Sending -----------------------------------------------------------------------


def cut_into_parts(accounts: list[Account]) -> list[tuple[Account, ...]]:
    """Return the parts of a snapshot; equal accounts give equal parts on every host."""
    parts: list[tuple[Account, ...]] = []
    current: list[Account] = []
    weight = 0
    for account in sorted(accounts, key=lambda item: item.account_id):
        for piece in split_account(account):
            piece_weight = 1 + len(piece.targets)
            if current and weight + piece_weight > PART_WEIGHT:
                parts.append(tuple(current))
                current, weight = [], 0
            current.append(piece)
            weight += piece_weight
    parts.append(tuple(current))
    return parts


def get_offer(tables: Tables, revision: int, now: float) -> OfferRow:
    """Return the offered snapshot at a revision, or at this host's revision.

    A transfer takes longer than the time between two changes, so the snapshot is kept
    at the revision at which the transfer began. Later records are replicated
    separately.
    """
    offers = tables.replication.offers
    offer = offers.get(revision) or offers.get(tables.revision)
    if offer is None:
        while len(offers) >= MAX_OFFERS:
            del offers[min(offers)]
        accounts = [row.account for row in tables.accounts.values()]
        offer = OfferRow(tables.revision, cut_into_parts(accounts), now)
        offers[offer.revision] = offer
    offer.deadline = now + OFFER_LIFETIME
    return offer


def send_snapshot_parts(
    tables: Tables,
    peer: str,
    request: SnapshotRequest,
    now: float,
    actions: list[Action],
) -> None:
    """Send the requested parts, or the first part of another snapshot."""
    if tables.revision == 0:
        return
    offer = get_offer(tables, request.revision, now)
    wanted = range(request.part, request.part + request.count)
    if offer.revision != request.revision:
        wanted = range(1)
    for part in wanted[: len(offer.parts)]:
        if part < len(offer.parts) and admit_part(tables, now):
            accounts = offer.parts[part]
            message = SnapshotPart(offer.revision, part, len(offer.parts), accounts)
            actions.append(SendControl(peer, message))


def admit_part(tables: Tables, now: float) -> bool:
    """Limit the rate of parts over all peers; return whether one may be sent."""
    replication = tables.replication
    if replication.bulk_budget_used_until - now > PARTS_BURST:
        return False
    replication.bulk_budget_used_until = (
        max(replication.bulk_budget_used_until, now) + 1.0 / PARTS_PER_SECOND
    )
    return True


def expire_offers(tables: Tables, now: float) -> None:
    """Drop offered snapshots that are no longer requested."""
    offers = tables.replication.offers
    for revision in [key for key, row in offers.items() if row.deadline <= now]:
        del offers[revision]


# Receiving ---------------------------------------------------------------------


def begin_transfer(tables: Tables, peer: str, now: float) -> None:
    """Start a transfer from a peer."""
    tables.replication.bulk = BulkRow(peer, now + PROGRESS_INTERVAL)


def receive_snapshot_part(
    tables: Tables, sender: str, message: SnapshotPart, now: float
) -> Snapshot | None:
    """Store a part; return the whole configuration once it is complete."""
    if message.revision <= tables.revision:
        return None
    replication = tables.replication
    if replication.bulk is None:
        begin_transfer(tables, sender, now)
    bulk = replication.bulk
    if bulk is None or message.revision < bulk.revision:
        return None
    if message.revision > bulk.revision or bulk.parts != message.parts:
        restart_transfer(bulk, sender, message)
    bulk.received[message.part] = message.accounts
    if len(bulk.received) < message.parts:
        return None
    replication.bulk = None
    ordered = [bulk.received[part] for part in sorted(bulk.received)]
    accounts = join_account_pieces([piece for part in ordered for piece in part])
    return Snapshot(message.revision, accounts)


def restart_transfer(bulk: BulkRow, sender: str, message: SnapshotPart) -> None:
    """Restart with a newer snapshot, as parts of two snapshots must never be mixed."""
    bulk.peer = sender
    bulk.parts_at_last_check = 0
    bulk.revision = message.revision
    bulk.parts = message.parts
    bulk.received.clear()
    bulk.part_retry_at.clear()


def run_transfer(tables: Tables, now: float, actions: list[Action]) -> None:
    """Request missing parts; switch to another peer if this one is too slow."""
    expire_offers(tables, now)
    bulk = tables.replication.bulk
    if bulk is None:
        return
    if bulk.revision and bulk.revision <= tables.revision:
        tables.replication.bulk = None
        return
    if now >= bulk.retry_at:
        check_peer_progress(tables, bulk, now)
    for first, count in consecutive_runs(missing_parts(bulk, now)):
        request = SnapshotRequest(bulk.revision, first, count)
        actions.append(SendControl(bulk.peer, request))
        for part in range(first, first + count):
            bulk.part_retry_at[part] = now + PART_RETRY


def consecutive_runs(parts: list[int]) -> list[tuple[int, int]]:
    """Return ascending numbers as runs of consecutive ones: first number and length."""
    runs: list[tuple[int, int]] = []
    for part in parts:
        if runs and sum(runs[-1]) == part:
            runs[-1] = runs[-1][0], runs[-1][1] + 1
        else:
            runs.append((part, 1))
    return runs


def missing_parts(bulk: BulkRow, now: float) -> list[int]:
    """Return the parts to request now, within the limit of parts in flight."""
    wanted = [part for part in range(bulk.parts or 1) if part not in bulk.received]
    in_flight = wanted[:PARTS_IN_FLIGHT]
    return [part for part in in_flight if bulk.part_retry_at.get(part, 0.0) <= now]


def check_peer_progress(tables: Tables, bulk: BulkRow, now: float) -> None:
    """Switch to another peer if this one is too slow or unresponsive."""
    bulk.retry_at = now + PROGRESS_INTERVAL
    new_parts = len(bulk.received) - bulk.parts_at_last_check
    bulk.parts_at_last_check = len(bulk.received)
    if new_parts >= MIN_PARTS_PER_INTERVAL:
        return
    bulk.part_retry_at.clear()
    for peer in sample(tables.membership.rng, present_hosts(tables), 1):
        bulk.peer = peer
