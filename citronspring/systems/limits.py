"""Limits on what one owner admits for a client account and places on a target.

Each owner gets a uniform share of the flows, so it can apply its share of a limit
without asking the others. Shares are whole numbers that add up to the limit. Owners
announce usage caps for the connections of an account; what they leave unused is lent to
the others, see `next_usage_cap`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.load_rows import PeerUsage, QuotaLending
from citronspring.messages import RefusalReason
from citronspring.rendezvous import seed_of
from citronspring.systems.idle import activate

if TYPE_CHECKING:
    from citronspring.tables import AccountRow, Tables, TargetRow

#: Seconds after which a refused caller may retry, unless the reason of the refusal
#: gives a time.
RETRY_AFTER = 2.0

#: New flows a client account may open at once beyond its rate, in seconds of rate.
BURST_SECONDS = 1.0

#: Maximum number of retries that a client account can accumulate.
RETRY_BALANCE_MAX = 100.0

#: Maximum number of openings that no caller has confirmed yet.
MAX_OPENINGS = 65_536

#: Seconds for which a peer relies on a usage cap after receiving it.
CAP_LIFETIME = 10.0

#: Maximum time in seconds between sending and handling a control message. The receiver
#: rejects messages older than 30 seconds, also those that waited in a stalled host's
#: socket.
MAX_MESSAGE_AGE = 35.0

#: Seconds for which a host stays within the cap it announced. After that no peer relies
#: on it any more, even if the message was delayed for the maximum time.
CAP_HOLD_TIME = CAP_LIFETIME + MAX_MESSAGE_AGE

#: A cap that is used up to more than this share is not announced again.
CAP_RENEWAL_THRESHOLD = 0.75

#: Seconds for which peers announce caps after an owner reported contention.
CONTENTION_LIFETIME = 10.0


def integer_share(limit: int, members: int, position: int) -> int:
    """Return one member's share of a limit; the shares of all add up to it."""
    share, remainder = divmod(limit, members)
    return share + (position % members < remainder)


def owner_share(tables: Tables, limit: int, seed: int, host_id: str) -> int:
    """Return the share of a limit that an owner holds; at least one flow.

    The seed decides who gets the remainder, so that it is not always the same host.
    """
    positions = tables.owners.positions
    position = positions.get(host_id)
    if position is None:
        return max(1, limit // (len(positions) + 1))
    return max(1, integer_share(limit, len(positions), position + seed))


def min_owner_share(tables: Tables, limit: int) -> int:
    """Return a lower bound of every owner's share; cheap, for the hot path."""
    return limit // (len(tables.owners.positions) + 1)


def connection_share(tables: Tables, account: AccountRow, host_id: str) -> int:
    """Return an owner's share of an account's connections."""
    limit = account.account.limits.max_connections
    return owner_share(tables, limit, seed_of(account.account.account_id), host_id)


def connection_allowance(tables: Tables, account: AccountRow, now: float) -> int:
    """Return how many flows of the account this host may hold open."""
    share = connection_share(tables, account, tables.host_id)
    return (
        share - lent_quota(tables, account, now) + borrowed_quota(tables, account, now)
    )


def may_connect(tables: Tables, account: AccountRow, now: float) -> bool:
    """Whether this host may hold one more flow of the account open."""
    if account.lending is None:
        limit = account.account.limits.max_connections
        if account.open_flows < min_owner_share(tables, limit):
            return True
    return account.open_flows < connection_allowance(tables, account, now)


def lent_quota(tables: Tables, account: AccountRow, now: float) -> int:
    """Return how much of its own share this host must leave to its peers.

    Flows opened on a usage cap outlive the cap. A peer returns what it borrowed by
    reporting, after it stopped relying on the cap, that it is within its own share.
    """
    me = tables.owners.positions.get(tables.host_id)
    lending = account.lending
    if lending is None or lending.cap_expires_at == 0.0 or me is None:
        return 0
    members = len(tables.owners.positions)
    share = connection_share(tables, account, tables.host_id)
    spare = max(0, share - lending.announced_cap)
    if lending.cap_expires_at > now or members == 1:
        return spare
    lent = 0
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
        lent += borrowable
    return lent


def borrowed_quota(tables: Tables, account: AccountRow, now: float) -> int:
    """Return how much of the account's quota this host may borrow from peers.

    What one peer leaves unused is split among all others: if two of them both took all
    of it, they would together exceed the account's limit.
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
    """Return the account's lending state; it is created when first needed."""
    if account.lending is None:
        account.lending = QuotaLending()
    return account.lending


def next_usage_cap(tables: Tables, account: AccountRow, now: float) -> int:
    """Return the usage cap for the account's flows that this host announces next.

    A host that uses up to half of its share lends half of the rest. One that needs more
    lends nothing: it reports its whole share, or what it holds beyond it, which also
    shows the peers that the quota is contended.
    """
    share = connection_share(tables, account, tables.host_id)
    use = account.open_flows
    if 2 * use > share:
        return max(share, use)
    cap = use + (share - use + 1) // 2
    lending = ensure_lending(account)
    if lending.announced_cap < cap and lent_quota(tables, account, now):
        # Not settled: a higher cap would lose track of what was lent under this one.
        if use > CAP_RENEWAL_THRESHOLD * lending.announced_cap:
            return share
        cap = lending.announced_cap
    lending.announced_cap = cap
    lending.cap_expires_at = now + CAP_HOLD_TIME
    return cap


def record_peer_usage(
    tables: Tables, account: AccountRow, peer: str, open_flows: int, now: float
) -> None:
    """Store the usage cap that a peer announced, or that it reports contention."""
    lending = ensure_lending(account)
    lending.peer_usage[peer] = PeerUsage(open_flows, now)
    if open_flows >= connection_share(tables, account, peer):
        lending.contended_until = now + CONTENTION_LIFETIME


def is_contended(tables: Tables, account: AccountRow, now: float) -> bool:
    """Whether peers should report their use of the account to each other."""
    if account.lending is not None and account.lending.contended_until > now:
        return True
    return 2 * account.open_flows > connection_share(tables, account, tables.host_id)


def has_room(tables: Tables, row: TargetRow) -> bool:
    """Whether a target's connection limit lets this host place one more flow.

    The host's own share applies even if nothing is known about the others; their
    reports can only reduce it.
    """
    limit = row.target.max_connections
    if row.flows + row.remote_flows >= limit:
        return False
    if row.flows < min_owner_share(tables, limit):
        return True
    return row.flows < owner_share(tables, limit, row.seed, tables.host_id)


def admit(
    tables: Tables, account: AccountRow, now: float
) -> tuple[RefusalReason, float] | None:
    """Count one opening against the account; if refused, return why and until when."""
    activate(tables, account, now)
    limits = account.account.limits
    rows_left = tables.flows.rows.has_room(account, tables.max_flows)
    if not rows_left or not tables.openings.has_room(account, MAX_OPENINGS):
        return RefusalReason.TABLE_FULL, now + RETRY_AFTER
    if not may_connect(tables, account, now):
        return RefusalReason.ACCOUNT_CONNECTIONS, now + RETRY_AFTER
    rate = limits.new_per_second / max(1, len(tables.owners.members))
    burst = max(1.0, rate * BURST_SECONDS)
    if not account.opening_limiter.admit(now, rate, burst):
        return RefusalReason.ACCOUNT_RATE, account.opening_limiter.retry_at(rate, burst)
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
