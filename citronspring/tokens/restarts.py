"""Targets that have restarted under the same id."""

from __future__ import annotations

from citronspring.events import TARGET_RESTARTED
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.entry_updates import add_target
from citronspring.tokens.flows import close_flow
from citronspring.tokens.messages import Log
from citronspring.tokens.placement import release_token, unlist_from_service

if TYPE_CHECKING:
    from citronspring.tokens.entries import Target
    from citronspring.tokens.messages import Action
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.tables import Tables


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
