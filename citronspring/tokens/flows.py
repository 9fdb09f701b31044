"""Flow rows: creating, counting at their targets, and expiring them."""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tokens.placement import count_load
from citronspring.tokens.rows import FlowRow
from citronspring.tokens.tables import MAX_FLOWS

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet, Route
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.tables import Tables

#: Interval in seconds between two passes that remove expired rows.
SWEEP_INTERVAL = 1.0


def start_flow(
    tables: Tables, packet: Packet, route: Route, target: TargetRow, now: float
) -> FlowRow | None:
    """Create the row of a flow; return None if the table is full.

    A flow without a row is forwarded all the same. It only lacks the retry of its
    opening at another target, and it adds no evidence about its target.
    """
    if len(tables.flows) >= MAX_FLOWS:
        tables.counters["flows-without-row"] += 1
        return None
    flow = FlowRow(
        route.key,
        target,
        route.idempotent,
        packet.seq,
        packet.seq,
        packet.ack,
        expires_at=now + tables.idle_timeout,
    )
    tables.flows[packet.flow] = flow
    count_load(target, flows=1)
    return flow


def touch_flow(tables: Tables, flow: FlowRow, now: float) -> None:
    """Extend the lifetime of a flow's row by the idle timeout."""
    flow.expires_at = now + tables.idle_timeout


def start_request(flow: FlowRow, now: float) -> None:
    """Count a request as outstanding at the flow's target."""
    flow.retransmissions = 0
    flow.sent_at = now
    if not flow.busy:
        flow.busy = True
        flow.first_sent_at = now
        count_load(flow.target, busy=1)


def end_request(flow: FlowRow) -> None:
    """Count the outstanding request as answered."""
    flow.retransmissions = 0
    if flow.busy:
        flow.busy = False
        count_load(flow.target, busy=-1)


def close_flow(tables: Tables, key: bytes, flow: FlowRow) -> None:
    """Remove the row of a flow."""
    end_request(flow)
    count_load(flow.target, flows=-1)
    del tables.flows[key]


def expire_flows(tables: Tables, now: float) -> None:
    """Remove the rows of flows that have exceeded the idle timeout."""
    for key, flow in list(tables.flows.items()):
        if flow.expires_at <= now:
            close_flow(tables, key, flow)
