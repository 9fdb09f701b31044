"""Election of the zone reader, the host that reads the store for its zone.

A host registers itself under a lease if no zone reader is registered. Having two zone
readers, or none for a while, costs extra calls to the store but is otherwise harmless.
"""

from __future__ import annotations

from binascii import crc32

from citronspring.events import LEASE_LOST, LEASE_TAKEN, READER_CHANGED
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.messages import (
    ClaimZone,
    ConditionFailed,
    Done,
    EndLease,
    GrantLease,
    LeaseGranted,
    LeaseLost,
    Log,
    RenewLease,
)

if TYPE_CHECKING:
    from citronspring.endpoints import Endpoint
    from citronspring.tokens.entries import ReaderRemoved, ZoneReader
    from citronspring.tokens.messages import Action, ElectionAnswer, ElectionCall
    from citronspring.tokens.tables import Tables

#: Duration of a lease in seconds. Until the lease of a crashed zone reader expires, the
#: hosts of its zone read the store themselves, so a longer lease costs calls; a renewal
#: costs a tenth of one.
LEASE_SECONDS = 4.0

#: Share of a lease's duration after which it is renewed; two renewals in a row may
#: fail.
RENEWAL_FRACTION = 0.3

#: Range in seconds over which the hosts of a zone spread their claims. A claim is
#: visible to all hosts within 20 ms, so that of thirty hosts only one or two claim
#: without success.
CLAIM_JITTER = 1.0

#: Additional delay in seconds, divided by the host's share of a processor, so that
#: smaller hosts wait longer. Serving followers costs a small host a larger part of its
#: capacity for callers.
SMALL_HOST_DELAY = 0.2

#: Upper bound of that delay in seconds.
MAX_SMALL_HOST_DELAY = 2.0

#: Timeout of a call, and the pause after a failed call, in seconds.
CALL_TIMEOUT = 0.5
RETRY_PAUSE = 0.5


def claim_delay(host_id: str, processor_share: float) -> float:
    """Return the seconds that a host waits before it claims its zone."""
    draw = crc32(host_id.encode()) % 1000 / 1000
    return CLAIM_JITTER * draw + min(
        SMALL_HOST_DELAY / processor_share, MAX_SMALL_HOST_DELAY
    )


def next_election_call(
    tables: Tables, endpoint: Endpoint, delay: float, now: float
) -> ElectionCall | None:
    """Return the election call that is due, None if none is.

    Parameters
    ----------
    tables : Tables
        All state.
    endpoint : Endpoint
        Address at which this host serves its change feed.
    delay : float
        Seconds to wait before a claim, see `claim_delay`.
    now : float
        Current time in seconds.
    """
    election = tables.election
    if election.lease and now >= election.lease_deadline:
        election.lease = 0
    if tables.leave_deadline is not None:
        return release_lease(tables)
    schedule_claim(tables, delay, now)
    if now < next_election_deadline(tables):
        return None
    if not zone_lacks_reader(tables):
        return RenewLease(election.lease)
    if not election.lease:
        return GrantLease(LEASE_SECONDS)
    own = tables.zone_readers.get(tables.zone)
    replaces = own.revision if own is not None else 0
    return ClaimZone(election.lease, tables.zone, tables.host_id, endpoint, replaces)


def schedule_claim(tables: Tables, delay: float, now: float) -> None:
    """Schedule a claim if the zone has no reader.

    A zone reader that has restarted claims immediately. Otherwise its zone would have
    an unresponsive reader until the old lease expires, and none after that.
    """
    election = tables.election
    note_stale_entry(tables)
    if not zone_lacks_reader(tables) or not store_is_readable(tables):
        election.claim_at = INFINITY
    elif election.claim_at == INFINITY:
        election.claim_at = now if is_zone_reader(tables) else now + delay


def note_stale_entry(tables: Tables) -> None:
    """Record that this host is registered under a lease that it does not know."""
    if is_zone_reader(tables) and not tables.election.lease:
        tables.election.stale_revision = tables.zone_readers[tables.zone].revision


def zone_lacks_reader(tables: Tables) -> bool:
    """Whether no host is registered, or only this host before its restart."""
    reader = tables.zone_readers.get(tables.zone)
    if reader is None:
        return True
    return is_zone_reader(tables) and reader.revision == tables.election.stale_revision


def store_is_readable(tables: Tables) -> bool:
    """Whether this host has read the store and its last call succeeded."""
    return tables.reader.listed and not tables.reader.failures


def release_lease(tables: Tables) -> EndLease | None:
    """Return the call by which a leaving host ends its lease, None if it has none."""
    lease, tables.election.lease = tables.election.lease, 0
    return EndLease(lease) if lease else None


def handle_election_answer(
    tables: Tables,
    call: ElectionCall,
    answer: ElectionAnswer,
    sent_at: float,
    now: float,
) -> list[Action]:
    """Apply the answer to an election call.

    A claim whose answer was lost may have taken effect; the watch shows whether it has.
    If it has not, the lease expires, after which a delayed claim under it fails.
    """
    election = tables.election
    match call, answer:
        case GrantLease(), LeaseGranted():
            election.lease = answer.lease
            extend_lease(tables, sent_at, answer.ttl)
            return [Log(LEASE_TAKEN.number, {"lease": answer.lease})]
        case RenewLease(), Done():
            extend_lease(tables, sent_at, LEASE_SECONDS)
        case ClaimZone(), Done() | ConditionFailed():
            # The watch will deliver the registered reader; no claim is needed until
            # then.
            election.claim_at = now + LEASE_SECONDS
        case _, LeaseLost():
            return clear_lost_lease(tables, now)
        case _:
            tables.counters["election-failures"] += 1
            election.renew_at = election.claim_at = now + RETRY_PAUSE
    return []


def extend_lease(tables: Tables, sent_at: float, ttl: float) -> None:
    """Set the expiry of a lease, counted from the call that granted or renewed it."""
    tables.election.lease_deadline = sent_at + ttl
    tables.election.renew_at = sent_at + RENEWAL_FRACTION * ttl


def clear_lost_lease(tables: Tables, now: float) -> list[Action]:
    """Clear a lease that has ended, and schedule the next claim."""
    election = tables.election
    lease, election.lease = election.lease, 0
    election.claim_at = now + RETRY_PAUSE
    return [Log(LEASE_LOST.number, {"lease": lease})] if lease else []


def drop_unknown_lease(tables: Tables) -> None:
    """Drop the lease after a restore, unless this host is still registered.

    The restored store may have granted the same lease number to another host; renewing
    or ending it would affect that host's lease.
    """
    if not is_zone_reader(tables):
        tables.election.lease = 0
        tables.election.claim_at = INFINITY


def next_election_deadline(tables: Tables) -> float:
    """Return the time at which a call may be due, infinite if none will be.

    Returning a past time while no call is made would make the event loop spin.
    """
    election = tables.election
    if tables.leave_deadline is not None:
        return -INFINITY if election.lease else INFINITY
    if zone_lacks_reader(tables):
        return election.claim_at if store_is_readable(tables) else INFINITY
    # A zone reader that cannot read must let its lease expire, so that another takes
    # over.
    if not election.lease or tables.reader.failures or not is_zone_reader(tables):
        return INFINITY
    return election.renew_at


def is_zone_reader(tables: Tables) -> bool:
    """Whether this host is registered as the reader of its zone."""
    holder = tables.zone_readers.get(tables.zone)
    return holder is not None and holder.host_id == tables.host_id


def apply_zone_reader(
    tables: Tables, reader: ZoneReader, actions: list[Action]
) -> None:
    """Apply a zone reader's registration, unless a newer one is known."""
    known = tables.zone_readers.get(reader.zone)
    if known is not None and known.revision >= reader.revision:
        return
    tables.zone_readers[reader.zone] = reader
    if reader.zone != tables.zone:
        return
    tables.follow.failures = 0
    tables.follow.retry_at = 0.0
    fields: dict[str, object] = {
        "reader": reader.host_id,
        "revision": reader.revision,
    }
    actions.append(Log(READER_CHANGED.number, fields))


def remove_zone_reader(
    tables: Tables, removed: ReaderRemoved, actions: list[Action]
) -> None:
    """Remove a zone reader's registration, unless it is newer."""
    known = tables.zone_readers.get(removed.zone)
    if known is None or known.revision > removed.revision:
        return
    del tables.zone_readers[removed.zone]
    if removed.zone == tables.zone:
        fields: dict[str, object] = {"reader": "", "revision": removed.revision}
        actions.append(Log(READER_CHANGED.number, fields))
