"""Targets that have restarted under the same id."""

from __future__ import annotations

from citronspring.events import TARGET_RESTARTED
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.entry_updates import add_target, update_row
from citronspring.tokens.flows import close_flow
from citronspring.tokens.messages import Log
from citronspring.tokens.placement import release_token, unlist_from_service
from citronspring.tokens.restore_grace import TARGET_REWRITE_GRACE
from citronspring.tokens.rows import EarlierStart

if TYPE_CHECKING:
    from citronspring.tokens.entries import Target
    from citronspring.tokens.messages import Action
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.tables import Tables


def note_earlier_start(tables: Tables, target: Target, now: float) -> None:
    """Record an entry that is of an earlier start than the known one."""
    if target.started is None:
        return
    known = tables.earlier_starts.get(target.target_id)
    if known is not None and target.revision <= known.target.revision:
        return
    if known is not None and target.started == known.target.started:
        known.target = target
        return
    adopt_at = now + TARGET_REWRITE_GRACE
    tables.earlier_starts[target.target_id] = EarlierStart(target, adopt_at)


def adopt_earlier_starts(tables: Tables, now: float, actions: list[Action]) -> None:
    """Replace known starts by earlier ones whose entries still stand.

    A running target rewrites its entry within a heartbeat if a late write of another
    start has replaced it. An entry that stands for longer is of the running one, and
    its clock was set back.
    """
    for target_id, earlier in list(tables.earlier_starts.items()):
        if tables.reader.current_at < earlier.adopt_at:
            continue
        del tables.earlier_starts[target_id]
        row = tables.targets.get(target_id)
        if row is None:
            row = add_target(tables, earlier.target, actions)
        else:
            row = replace_start(tables, row, earlier.target, actions)
        row.known_at = now
        update_row(tables, row, earlier.target, now, actions)
        tables.ignored_entries.discard(target_id)


def replace_start(
    tables: Tables, row: TargetRow, target: Target, actions: list[Action]
) -> TargetRow:
    """Replace the row of a target after it has restarted.

    The new incarnation has no flows and no time-outs. If those of the old one were
    kept, flows that ended with it would keep new flows away from the target. A packet
    of such a flow is still forwarded, and the target itself resets it.
    """
    flows = [key for key, flow in tables.flows.items() if flow.target is row]
    for key in flows:
        close_flow(tables, key, tables.flows[key])
    unlist_from_service(tables, row)
    release_token(tables, row)
    fields: dict[str, object] = {
        "target": target.target_id,
        "started": target.started,
        "before": row.target.started,
        "flows": len(flows),
    }
    actions.append(Log(TARGET_RESTARTED.number, fields))
    return add_target(tables, target, actions)
