"""Bulk copy: a whole configuration from a peer, for a host that has none."""

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

#: Targets and service addresses in one piece of an account. A piece of ordinary
#: names stays below the datagram that fits every path.
TARGETS_PER_PIECE = 18
ADDRESSES_PER_PIECE = 16

#: Weight of one part of a copy; an account weighs one more than its targets.
PART_WEIGHT = 20

#: Parts asked for at once, and seconds until one is asked for again.
PARTS_IN_FLIGHT = 4
PART_RETRY = 0.3

#: Seconds in which a peer must send so many of the missing parts, or another is
#: asked. Hosts that start together know the same few peers at first; without it
#: they would all wait for these.
PROGRESS_INTERVAL = 1.0
MIN_PARTS_PER_INTERVAL = 30

#: Seconds an offered copy is kept after the last question for it.
OFFER_LIFETIME = 30.0

#: Copies offered at once.
MAX_OFFERS = 2

#: Parts a second that one host sends, over all who ask, and its burst in seconds.
PARTS_PER_SECOND = 40.0
PARTS_BURST = 0.5


def split_account(account: Account) -> list[Account]:
    """Cut an account into pieces that each fit a datagram."""
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
    """Put accounts together from pieces in order."""
    whole: dict[str, Account] = {}
    for piece in pieces:
        start = whole.get(piece.account_id)
        if start is None:
            whole[piece.account_id] = piece
            continue
        whole[piece.account_id] = replace(
            start,
            targets=start.targets + piece.targets,
            addresses=start.addresses + piece.addresses,
        )
    return tuple(whole.values())


# Giving ------------------------------------------------------------------------


def cut_into_parts(accounts: list[Account]) -> list[tuple[Account, ...]]:
    """Return the parts of a copy; equal accounts give equal parts on every host."""
    parts: list[tuple[Account, ...]] = []
    current: list[Account] = []
    weight = 0
    for account in sorted(accounts, key=lambda item: item.account_id):
        for piece in split_account(account):
            more = 1 + len(piece.targets)
            if current and weight + more > PART_WEIGHT:
                parts.append(tuple(current))
                current, weight = [], 0
            current.append(piece)
            weight += more
    parts.append(tuple(current))
    return parts


def get_offer(tables: Tables, revision: int, now: float) -> OfferRow:
    """Return the copy at a revision, or one at this host's own.

    A copy takes longer than the time between two changes, so it is kept at the
    revision at which it was begun; the records after it follow by themselves.
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
    """Send the parts that are asked for; the first of another copy if need be."""
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
    """Pace the parts over all who ask; return whether one may go."""
    replication = tables.replication
    if replication.bulk_budget_used_until - now > PARTS_BURST:
        return False
    replication.bulk_budget_used_until = (
        max(replication.bulk_budget_used_until, now) + 1.0 / PARTS_PER_SECOND
    )
    return True


def expire_offers(tables: Tables, now: float) -> None:
    """Forget copies nobody asks for any more."""
    offers = tables.replication.offers
    for revision in [key for key, row in offers.items() if row.deadline <= now]:
        del offers[revision]


# Taking ------------------------------------------------------------------------


def begin_transfer(tables: Tables, peer: str, now: float) -> None:
    """Start to copy from a peer."""
    tables.replication.bulk = BulkRow(peer, now + PROGRESS_INTERVAL)


def receive_snapshot_part(
    tables: Tables, sender: str, message: SnapshotPart, now: float
) -> Snapshot | None:
    """Keep a part; return the whole configuration once all are here."""
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
    """Begin again with a newer configuration; parts of two must never mix."""
    bulk.peer = sender
    bulk.parts_at_last_check = 0
    bulk.revision = message.revision
    bulk.parts = message.parts
    bulk.received.clear()
    bulk.part_retry_at.clear()


def run_transfer(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ask for missing parts, and another peer when this one fell silent."""
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
    """Return ascending numbers as runs: the first, and how many follow it."""
    runs: list[tuple[int, int]] = []
    for part in parts:
        if runs and sum(runs[-1]) == part:
            runs[-1] = runs[-1][0], runs[-1][1] + 1
        else:
            runs.append((part, 1))
    return runs


def missing_parts(bulk: BulkRow, now: float) -> list[int]:
    """Return the parts to ask for now, as many as may be under way."""
    wanted = [part for part in range(bulk.parts or 1) if part not in bulk.received]
    under_way = wanted[:PARTS_IN_FLIGHT]
    return [part for part in under_way if bulk.part_retry_at.get(part, 0.0) <= now]


def check_peer_progress(tables: Tables, bulk: BulkRow, now: float) -> None:
    """Turn to another peer if this one is slow or silent."""
    bulk.retry_at = now + PROGRESS_INTERVAL
    arrived = len(bulk.received) - bulk.parts_at_last_check
    bulk.parts_at_last_check = len(bulk.received)
    if arrived >= MIN_PARTS_PER_INTERVAL:
        return
    bulk.part_retry_at.clear()
    for peer in sample(tables.membership.rng, present_hosts(tables), 1):
        bulk.peer = peer
