"""Limits: what one owner may admit for a client account and place on a target.

Ownership is a uniform share of flows, so each owner holds its part of a limit
without asking the others. The parts are whole numbers that add up to the limit. An
account's connections that peers promise to leave unused are shared out among the
others, see `promise`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.load_rows import Lending, PeerUse
from citronspring.messages import RefusalReason
from citronspring.rendezvous import seed_of
from citronspring.systems.idle import wake

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
PROMISE_LIFETIME = 10.0

#: Seconds within which a control message is taken or never: its age is bounded at
#: the border to 30 seconds, also for one that waited in a frozen host's socket.
TOLD_WITHIN = 35.0

#: Seconds for which the promising host keeps it: nobody relies on it any longer,
#: even if the message was under way for long.
PROMISE_KEPT = PROMISE_LIFETIME + TOLD_WITHIN

#: A promise that is used up to more than this share is not repeated.
PROMISE_FILLED = 0.75

#: Seconds for which peers go on promising after an owner said it is pressed.
PRESSED_LIFETIME = 10.0


def part_of(whole: int, members: int, position: int) -> int:
    """Return one member's part of a whole; the parts of all add up to it."""
    part, rest = divmod(whole, members)
    return part + (position % members < rest)


def owner_part(tables: Tables, whole: int, seed: int, host_id: str) -> int:
    """Return the part of a limit that an owner holds; at least one flow.

    The seed decides who gets the remainder, so that it is not always the same host.
    """
    positions = tables.ring.positions
    position = positions.get(host_id)
    if position is None:
        return max(1, whole // (len(positions) + 1))
    return max(1, part_of(whole, len(positions), position + seed))


def least_part(tables: Tables, whole: int) -> int:
    """Return what every owner holds of a limit at least; cheap, for the hot path."""
    return whole // (len(tables.ring.positions) + 1)


def connection_part(tables: Tables, account: AccountRow, host_id: str) -> int:
    """Return an owner's part of an account's connections."""
    whole = account.account.limits.max_connections
    return owner_part(tables, whole, seed_of(account.account.account_id), host_id)


def connection_allowance(tables: Tables, account: AccountRow, now: float) -> int:
    """Return how many flows of the account this host may hold open."""
    part = connection_part(tables, account, tables.host_id)
    return part - lent(tables, account, now) + borrowed(tables, account, now)


def may_connect(tables: Tables, account: AccountRow, now: float) -> bool:
    """Whether this host may hold one more flow of the account open."""
    if account.lending is None:
        whole = account.account.limits.max_connections
        if account.open_flows < least_part(tables, whole):
            return True
    return account.open_flows < connection_allowance(tables, account, now)


def lent(tables: Tables, account: AccountRow, now: float) -> int:
    """Return how much of its own part this host must leave to its peers.

    Flows opened on a promise live on after it ran out. A peer gives back what it
    borrowed by telling, once it relies on the promise no longer, that it is within
    its own part.
    """
    me = tables.ring.positions.get(tables.host_id)
    lending = account.lending
    if lending is None or lending.promised_until == 0.0 or me is None:
        return 0
    members = len(tables.ring.positions)
    part = connection_part(tables, account, tables.host_id)
    spare = max(0, part - lending.promised)
    if lending.promised_until > now or members == 1:
        return spare
    owed = 0
    for peer, index in tables.ring.positions.items():
        if peer == tables.host_id:
            continue
        borrowable = part_of(spare, members - 1, (index - me) % members - 1)
        use = lending.uses.get(peer)
        if use is not None and use.heard_at > lending.promised_until + TOLD_WITHIN:
            excess = use.open_flows - connection_part(tables, account, peer)
            borrowable = min(borrowable, max(0, excess))
        owed += borrowable
    return owed


def borrowed(tables: Tables, account: AccountRow, now: float) -> int:
    """Return what peers leave unused of the account and this host may use.

    What one peer leaves is split among all others: two of them that both took
    the whole of it would together break the account's limit.
    """
    positions = tables.ring.positions
    me = positions.get(tables.host_id)
    if account.lending is None or me is None:
        return 0
    total = 0
    for peer, use in account.lending.uses.items():
        index = positions.get(peer)
        if index is None or use.heard_at + PROMISE_LIFETIME <= now:
            continue
        spare = connection_part(tables, account, peer) - use.open_flows
        position = (me - index) % len(positions) - 1
        total += part_of(max(0, spare), len(positions) - 1, position)
    return total


def lending_of(account: AccountRow) -> Lending:
    """Return the account's lending state; most accounts never need one."""
    if account.lending is None:
        account.lending = Lending()
    return account.lending


def promise(tables: Tables, account: AccountRow, now: float) -> int:
    """Return the flows of the account this host will stay within.

    A host that uses up to half of its part promises away half of the rest. One
    that needs more promises nothing: it tells its whole part, or what it holds
    beyond it, and says by it that it is pressed.
    """
    part = connection_part(tables, account, tables.host_id)
    use = account.open_flows
    if 2 * use > part:
        return max(part, use)
    told = use + (part - use + 1) // 2
    lending = lending_of(account)
    if lending.promised < told and lent(tables, account, now):
        # Not settled: a wider promise would forget what was lent by this one.
        if use > PROMISE_FILLED * lending.promised:
            return part
        told = lending.promised
    lending.promised = told
    lending.promised_until = now + PROMISE_KEPT
    return told


def take_promise(
    tables: Tables, account: AccountRow, peer: str, open_flows: int, now: float
) -> None:
    """Keep what a peer promised, or note that it is pressed."""
    lending = lending_of(account)
    lending.uses[peer] = PeerUse(open_flows, now)
    if open_flows >= connection_part(tables, account, peer):
        lending.pressed_until = now + PRESSED_LIFETIME


def is_pressed(tables: Tables, account: AccountRow, now: float) -> bool:
    """Whether peers should tell each other of their use of the account."""
    if account.lending is not None and account.lending.pressed_until > now:
        return True
    return 2 * account.open_flows > connection_part(tables, account, tables.host_id)


def has_room(tables: Tables, row: TargetRow) -> bool:
    """Whether a target's connection limit lets this host place one more flow.

    The host's own part holds even when nothing is known of the others; what
    they report can only narrow it.
    """
    whole = row.target.max_connections
    if row.flows + row.remote_flows >= whole:
        return False
    if row.flows < least_part(tables, whole):
        return True
    return row.flows < owner_part(tables, whole, row.seed, tables.host_id)


def admit(
    tables: Tables, account: AccountRow, now: float
) -> tuple[RefusalReason, float] | None:
    """Count one opening against the account; return why and until when not."""
    wake(tables, account, now)
    limits = account.account.limits
    rows_left = tables.flows.rows.has_room(account, tables.max_flows)
    if not rows_left or not tables.openings.has_room(account, MAX_OPENINGS):
        return RefusalReason.TABLE_FULL, now + RETRY_AFTER
    if not may_connect(tables, account, now):
        return RefusalReason.ACCOUNT_CONNECTIONS, now + RETRY_AFTER
    rate = limits.new_per_second / max(1, len(tables.ring.members))
    burst = max(1.0, rate * BURST_SECONDS)
    if not account.openings.admit(now, rate, burst):
        return RefusalReason.ACCOUNT_RATE, account.openings.retry_at(rate, burst)
    account.retry_balance = min(
        RETRY_BALANCE_MAX, account.retry_balance + limits.retry_ratio
    )
    return None


def take_retry(account: AccountRow) -> bool:
    """Spend one retry of the account's budget; return whether there was one."""
    if account.retry_balance < 1.0:
        return False
    account.retry_balance -= 1.0
    return True
