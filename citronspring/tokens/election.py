"""How the hosts of a zone agree on the one that reads the store for it.

A host registers itself under a lease where no reader is registered. Two readers, or
none for a while, cost calls to the store and nothing else.
"""

from __future__ import annotations

from binascii import crc32

from citronspring.events import LEASE_LOST, LEASE_TAKEN
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
    from citronspring.tokens.messages import Action, ElectionAnswer, ElectionCall
    from citronspring.tokens.tables import Tables

#: Seconds that a lease lasts. While a dead reader's lease runs the hosts of its zone
#: read the store themselves, so a longer one costs calls; a renewal is a tenth of one.
LEASE_SECONDS = 4.0

#: Share of a lease after which it is renewed: two renewals may be lost.
RENEWAL_FRACTION = 0.3

#: Seconds over which the hosts of a zone spread their claims. A claim is known to all
#: within 20 ms, so that of thirty hosts one or two call in vain.
CLAIM_JITTER = 1.0

#: Seconds that a host waits longer the smaller it is, times its share of a processor:
#: handing on costs a small host more of what it has for callers.
SMALL_HOST_DELAY = 0.2

#: Longest of that.
MAX_SMALL_HOST_DELAY = 2.0

#: Seconds until a call is given up, and after one that failed until the next.
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
    """Return the call to make now, None while nothing is to be done.

    Parameters
    ----------
    tables : Tables
        All state.
    endpoint : Endpoint
        Where this host hands on what it has read.
    delay : float
        Seconds to wait before a claim, see `claim_delay`.
    now : float
        Seconds.
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
    """Decide when this host claims its zone, once nobody is known to read for it.

    A reader that has started again claims at once: else its zone would have a silent
    one until the lease of before ends, and then none.
    """
    election = tables.election
    note_stale_entry(tables)
    if not zone_lacks_reader(tables) or not store_is_readable(tables):
        election.claim_at = INFINITY
    elif election.claim_at == INFINITY:
        election.claim_at = now if is_zone_reader(tables) else now + delay


def note_stale_entry(tables: Tables) -> None:
    """Take that this host is registered under a lease that it does not know."""
    if is_zone_reader(tables) and not tables.election.lease:
        tables.election.stale_revision = tables.zone_readers[tables.zone].revision


def zone_lacks_reader(tables: Tables) -> bool:
    """Whether nobody is registered, or only this host before its start."""
    reader = tables.zone_readers.get(tables.zone)
    if reader is None:
        return True
    return is_zone_reader(tables) and reader.revision == tables.election.stale_revision


def store_is_readable(tables: Tables) -> bool:
    """Whether this host has read the store, and its last call was answered."""
    return tables.reader.listed and not tables.reader.failures


def release_lease(tables: Tables) -> EndLease | None:
    """Return the call by which a leaving host gives up its lease, once."""
    lease, tables.election.lease = tables.election.lease, 0
    return EndLease(lease) if lease else None


def handle_election_answer(
    tables: Tables,
    call: ElectionCall,
    answer: ElectionAnswer,
    sent_at: float,
    now: float,
) -> list[Action]:
    """Take what a call brought.

    A claim without an answer may have come through: the watch tells. If it has not,
    the lease ends by itself, and nothing that is still under way can take effect.
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
            # The watch brings who it is; until then nothing more is to be claimed.
            election.claim_at = now + LEASE_SECONDS
        case _, LeaseLost():
            return clear_lost_lease(tables, now)
        case _:
            tables.counters["election-failures"] += 1
            election.renew_at = election.claim_at = now + RETRY_PAUSE
    return []


def extend_lease(tables: Tables, sent_at: float, ttl: float) -> None:
    """Count a lease from the call that brought or renewed it."""
    tables.election.lease_deadline = sent_at + ttl
    tables.election.renew_at = sent_at + RENEWAL_FRACTION * ttl


def clear_lost_lease(tables: Tables, now: float) -> list[Action]:
    """Take that the lease has ended."""
    election = tables.election
    lease, election.lease = election.lease, 0
    election.claim_at = now + RETRY_PAUSE
    return [Log(LEASE_LOST.number, {"lease": lease})] if lease else []


def drop_unknown_lease(tables: Tables) -> None:
    """Take that the store has come back from an older copy, without a lease perhaps.

    Its number may be another host's now; renewed or ended, it would be that one's.
    """
    if not is_zone_reader(tables):
        tables.election.lease = 0
        tables.election.claim_at = INFINITY


def next_election_deadline(tables: Tables) -> float:
    """Return the time at which a call may be due, infinite while none will be.

    A time that has passed would have the process look again and again for a call that
    is not made.
    """
    election = tables.election
    if tables.leave_deadline is not None:
        return -INFINITY if election.lease else INFINITY
    if zone_lacks_reader(tables):
        return election.claim_at if store_is_readable(tables) else INFINITY
    # A reader that cannot read must not keep others from it.
    if not election.lease or tables.reader.failures or not is_zone_reader(tables):
        return INFINITY
    return election.renew_at


def is_zone_reader(tables: Tables) -> bool:
    """Whether this host is registered as the reader of its zone."""
    holder = tables.zone_readers.get(tables.zone)
    return holder is not None and holder.host_id == tables.host_id
