"""Utilization of the host's own link.

Load pattern: callers send more than the link of a small host carries. Packets then wait
or are lost on the link, for all targets at once, which is no evidence against a target.
"""

from __future__ import annotations

from citronspring.events import LINK_STATE_CHANGED
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.local_path import note_disturbance
from citronspring.tokens.messages import Log
from citronspring.tokens.rows import LinkSample

if TYPE_CHECKING:
    from citronspring.tokens.messages import Action
    from citronspring.tokens.rows import LinkUsage
    from citronspring.tokens.tables import Tables

#: Seconds between two samples of the bytes on the link.
SAMPLE_INTERVAL = 0.1

#: Seconds over which the utilization is taken, and share of the link from which it
#: counts as nearly full. Its queue may then be long for a part of that time.
USAGE_WINDOW = 1.0
NEARLY_FULL = 0.8

#: The same for a link that has just filled up. Callers retransmit after 200 ms, before
#: the longer window shows it.
SHORT_WINDOW = 0.2
FULL = 0.95


def sample_link(tables: Tables, now: float) -> None:
    """Take a sample, and void missing answers as evidence if the link is nearly full.

    Parameters
    ----------
    tables : Tables
        All state.
    now : float
        Current time in seconds.
    """
    usage = tables.link_usage
    samples = usage.samples
    samples.append(LinkSample(now, usage.received, usage.sent))
    while len(samples) > 1 and samples[1].at <= now - USAGE_WINDOW:
        samples.popleft()
    usage.sample_at = now + SAMPLE_INTERVAL
    usage.nearly_full = is_nearly_full(usage, tables.link_rate, now)
    if usage.nearly_full:
        usage.last_nearly_full_at = now
        note_disturbance(tables.local_path, now)


def is_nearly_full(usage: LinkUsage, rate: float, now: float) -> bool:
    """Whether packets may have waited or been lost on the link."""
    if utilization(usage, rate, USAGE_WINDOW, now) > NEARLY_FULL:
        return True
    return utilization(usage, rate, SHORT_WINDOW, now) > FULL


def utilization(usage: LinkUsage, rate: float, seconds: float, now: float) -> float:
    """Return the share of the link used in the last seconds, in its busier direction.

    A host that started later counts as idle before. After a stall, the period goes back
    to the last sample before it, when the queued packets were still to arrive.
    """
    start = None
    for start in reversed(usage.samples):
        if start.at <= now - seconds:
            break
    if start is None:
        return 0.0
    used = max(usage.received - start.received, usage.sent - start.sent)
    return used / (rate * max(seconds, now - start.at))


def log_link_state(tables: Tables, now: float, actions: list[Action]) -> None:
    """Log that the link has become nearly full, or is no longer."""
    usage = tables.link_usage
    usage.logged_nearly_full = usage.nearly_full
    fields: dict[str, object] = {
        "full": usage.nearly_full,
        **describe_link(tables, now),
        "expected_bytes": tables.uploads.remaining,
    }
    actions.append(Log(LINK_STATE_CHANGED.number, fields))


def describe_link(tables: Tables, now: float) -> dict[str, object]:
    """Return rate and utilization of the link, for log lines and the state dump."""
    usage, rate = tables.link_usage, tables.link_rate
    return {
        "link_rate": rate if rate < INFINITY else None,
        "utilization": round(utilization(usage, rate, USAGE_WINDOW, now), 3),
        "recent_utilization": round(utilization(usage, rate, SHORT_WINDOW, now), 3),
    }
