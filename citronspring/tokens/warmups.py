"""Remaining warm-up of targets whose entries a host has read late.

An entry states the warm-up that was left when it was written, and a host counts it from
when it reads the entry. If a host starts long after a target, it would count the whole
warm-up again. When all hosts do so after a restart, no target counts as warmed up, and
those that really are in warm-up get as many openings as the others.

The start times of targets show how old an entry is at least: no entry is older than the
newest start that is known when it is read.
"""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.tokens.entries import Target
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.tables import Tables

MILLISECOND = 0.001

#: Number of targets whose clocks must have reached a time. One clock that is ahead of
#: the others would end the warm-up of all other targets.
MIN_CLOCKS = 2

#: Sequence number of an entry that its target wrote when it started. Later ones may
#: state a warm-up that began after the start, such as that at the end of a drain.
FIRST_SEQUENCE = 1


def record_listed_warmups(tables: Tables, now: float) -> None:
    """Record the targets in warm-up of a list that was read at ``now``.

    Only the entries that targets wrote at their start tell when their warm-up ends.
    Other hosts pass on what is left of a warm-up, which is right already.
    """
    tables.listed_warmups = {
        target_id: row.warm_at
        for target_id, row in tables.targets.items()
        if was_just_read(row, now)
        and row.target.started is not None
        and row.target.sequence <= FIRST_SEQUENCE
    }
    shorten_warmups(tables, now)


def was_just_read(row: TargetRow, now: float) -> bool:
    """Whether the warm-up of a target counts in full from ``now``.

    The comparison is exact: `apply_target` has computed the same sum.
    """
    return row.target.warmup > 0.0 and row.warm_at == now + row.target.warmup


def shorten_warmups(tables: Tables, now: float) -> None:
    """Shorten the warm-ups of a list by what has passed of them at least."""
    newest = newest_start(tables)
    listed, tables.listed_warmups = tables.listed_warmups, {}
    for target_id, warm_at in listed.items():
        row = tables.targets.get(target_id)
        if row is None or row.warm_at != warm_at or warm_at <= now:
            # Its entry has been read anew, or the warm-up is over.
            continue
        row.warm_at = min(warm_at, now + warmup_left(row.target, newest))
        tables.listed_warmups[target_id] = row.warm_at


def newest_start(tables: Tables) -> float:
    """Return the newest start that enough targets' clocks have reached.

    It is in milliseconds of Unix time; -infinity if fewer than `MIN_CLOCKS` are known.
    """
    starts = [
        row.target.started
        for row in tables.targets.values()
        if row.target.started is not None
    ]
    return sorted(starts)[-MIN_CLOCKS] if len(starts) >= MIN_CLOCKS else -INFINITY


def warmup_left(target: Target, newest: float) -> float:
    """Return the longest warm-up in seconds that a target can have left.

    ``newest`` is a start time that has been reached.
    """
    if target.started is None:
        return target.warmup
    return target.warmup - max(newest - target.started, 0.0) * MILLISECOND
