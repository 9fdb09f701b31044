"""Limits: what one owner may admit for a client account and place on a target.

Ownership is a uniform share of flows, so each owner holds its part of a limit
without asking the others. The parts are whole numbers that add up to the limit. An
account's connections that peers promise to leave unused are shared out among the
others, see `next_usage_cap`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.load_rows import PeerUsage, QuotaLending
from citronspring.messages import RefusalReason
from citronspring.rendezvous import seed_of
from citronspring.systems.idle import activate

if TYPE_CHECKING:
    from citronspring.tables import AccountRow, Tables, TargetRow

#: Seconds after which a refused caller is told to come back, where the reason
#: itself does not say when.
RETRY_AFTER = 2.0

#: New flows a client account may open at once beyond its rate, in seconds of rate.
BURST_SECONDS = 1.0

#: Retries a client account can save up.
RETRY_BALANCE_MAX = 100.0

#: Openings at once that no caller has confirmed yet.
MAX_OPENINGS = 65_536

#: Seconds for which a peer relies on a promise after it was heard.
CAP_LIFETIME = 10.0

#: Seconds within which a control message is taken or never: its age is bounded at
#: the border to 30 seconds, also for one that waited in a frozen host's socket.
MAX_MESSAGE_AGE = 35.0

#: Seconds for which the promising host keeps it: nobody relies on it any longer,
#: even if the message was under way for long.
CAP_HOLD_TIME = CAP_LIFETIME + MAX_MESSAGE_AGE

#: A promise that is used up to more than this share is not repeated.
CAP_RENEWAL_THRESHOLD = 0.75

#: Seconds for which peers go on promising after an owner said it is pressed.
CONTENTION_LIFETIME = 10.0


def integer_share(whole: int, members: int, position: int) -> int:
    """Return one member's part of a whole; the parts of all add up to it."""
    part, rest = divmod(whole, members)
    return part + (position % members < rest)


def owner_share(tables: Tables, whole: int, seed: int, host_id: str) -> int:
    """Return the part of a limit that an owner holds; at least one flow.

    The seed decides who gets the remainder, so that it is not always the same host.
    """
    positions = tables.owners.positions
    position = positions.get(host_id)
    if position is None:
        return max(1, whole // (len(positions) + 1))
    return max(1, integer_share(whole, len(positions), position + seed))


def min_owner_share(tables: Tables, whole: int) -> int:
    """Return what every owner holds of a limit at least; cheap, for the hot path."""
    return whole // (len(tables.owners.positions) + 1)


def connection_share(tables: Tables, account: AccountRow, host_id: str) -> int:
    """Return an owner's part of an account's connections."""
    whole = account.account.limits.max_connections
    return owner_share(tables, whole, seed_of(account.account.account_id), host_id)


def connection_allowance(tables: Tables, account: AccountRow, now: float) -> int:
    """Return how many flows of the account this host may hold open."""
    part = connection_share(tables, account, tables.host_id)
    return (
        part - lent_quota(tables, account, now) + borrowed_quota(tables, account, now)
    )


def may_connect(tables: Tables, account: AccountRow, now: float) -> bool:
    """Whether this host may hold one more flow of the account open."""
    if account.lending is None:
        whole = account.account.limits.max_connections
        if account.open_flows < min_owner_share(tables, whole):
            return True
    return account.open_flows < connection_allowance(tables, account, now)


def lent_quota(tables: Tables, account: AccountRow, now: float) -> int:
    """Return how much of its own part this host must leave to its peers.

    Flows opened on a promise live on after it ran out. A peer gives back what it
    borrowed by telling, once it relies on the promise no longer, that it is within
    its own part.
    """
    me = tables.owners.positions.get(tables.host_id)
    lending = account.lending
    if lending is None or lending.cap_expires_at == 0.0 or me is None:
        return 0
    members = len(tables.owners.positions)
    part = connection_share(tables, account, tables.host_id)
    spare = max(0, part - lending.announced_cap)
    if lending.cap_expires_at > now or members == 1:
        return spare
    owed = 0
    for peer, index in tables.owners.positions.items():
        if peer == tables.host_id:
            continue
        borrowable = integer_share(spare, members - 1, (index - me) % members - 1)
        use = lending.peer_usage.get(peer)
        if (
            use is not None
            and use.received_at > lending.cap_expires_at + MAX_MESSAGE_AGE
        ):
            excess = use.open_flows - connection_share(tables, account, peer)
            borrowable = min(borrowable, max(0, excess))
        owed += borrowable
    return owed


def borrowed_quota(tables: Tables, account: AccountRow, now: float) -> int:
    """Return what peers leave unused of the account and this host may use.

    What one peer leaves is split among all others: two of them that both took
    the whole of it would together break the account's limit.
    """
    positions = tables.owners.positions
    me = positions.get(tables.host_id)
    if account.lending is None or me is None:
        return 0
    total = 0
    for peer, use in account.lending.peer_usage.items():
        index = positions.get(peer)
        if index is None or use.received_at + CAP_LIFETIME <= now:
            continue
        spare = connection_share(tables, account, peer) - use.open_flows
        position = (me - index) % len(positions) - 1
        total += integer_share(max(0, spare), len(positions) - 1, position)
    return total


def ensure_lending(account: AccountRow) -> QuotaLending:
    """Return the account's lending state; most accounts never need one."""
    if account.lending is None:
        account.lending = QuotaLending()
    return account.lending


def next_usage_cap(tables: Tables, account: AccountRow, now: float) -> int:
    """Return the flows of the account this host will stay within.

    A host that uses up to half of its part promises away half of the rest. One
    that needs more promises nothing: it tells its whole part, or what it holds
    beyond it, and says by it that it is pressed.
    """
    part = connection_share(tables, account, tables.host_id)
    use = account.open_flows
    if 2 * use > part:
        return max(part, use)
    told = use + (part - use + 1) // 2
    lending = ensure_lending(account)
    if lending.announced_cap < told and lent_quota(tables, account, now):
        # Not settled: a wider promise would forget what was lent by this one.
        if use > CAP_RENEWAL_THRESHOLD * lending.announced_cap:
            return part
        told = lending.announced_cap
    lending.announced_cap = told
    lending.cap_expires_at = now + CAP_HOLD_TIME
    return told


def record_peer_usage(
    tables: Tables, account: AccountRow, peer: str, open_flows: int, now: float
) -> None:
    """Keep what a peer promised, or note that it is pressed."""
    lending = ensure_lending(account)
    lending.peer_usage[peer] = PeerUsage(open_flows, now)
    if open_flows >= connection_share(tables, account, peer):
        lending.contended_until = now + CONTENTION_LIFETIME


def is_contended(tables: Tables, account: AccountRow, now: float) -> bool:
    """Whether peers should tell each other of their use of the account."""
    if account.lending is not None and account.lending.contended_until > now:
        return True
    return 2 * account.open_flows > connection_share(tables, account, tables.host_id)


def has_room(tables: Tables, row: TargetRow) -> bool:
    """Whether a target's connection limit lets this host place one more flow.

    The host's own part holds even when nothing is known of the others; what
    they report can only narrow it.
    """
    whole = row.target.max_connections
    if row.flows + row.remote_flows >= whole:
        return False
    if row.flows < min_owner_share(tables, whole):
        return True
    return row.flows < owner_share(tables, whole, row.seed, tables.host_id)


def admit(
    tables: Tables, account: AccountRow, now: float
) -> tuple[RefusalReason, float] | None:
    """Count one opening against the account; return why and until when not."""
    activate(tables, account, now)
    limits = account.account.limits
    rows_left = tables.flows.rows.has_room(account, tables.max_flows)
    if not rows_left or not tables.openings.has_room(account, MAX_OPENINGS):
        return RefusalReason.TABLE_FULL, now + RETRY_AFTER
    if not may_connect(tables, account, now):
        return RefusalReason.ACCOUNT_CONNECTIONS, now + RETRY_AFTER
    rate = limits.new_per_second / max(1, len(tables.owners.members))
    burst = max(1.0, rate * BURST_SECONDS)
    if not account.openings.admit(now, rate, burst):
        return RefusalReason.ACCOUNT_RATE, account.openings.retry_at(rate, burst)
    account.retry_balance = min(
        RETRY_BALANCE_MAX, account.retry_balance + limits.retry_ratio
    )
    return None


def spend_retry(account: AccountRow) -> bool:
    """Spend one retry of the account's budget; return whether there was one."""
    if account.retry_balance < 1.0:
        return False
    account.retry_balance -= 1.0
    return True
