"""Expiry of flows and hints whose stored deadline has passed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.systems.binding import remove_flow
from citronspring.tables import WHEEL_BUCKET_WIDTH

if TYPE_CHECKING:
    from citronspring.entities import FlowKey
    from citronspring.tables import Tables

#: Maximum number of hints checked per tick.
HINTS_PER_TICK = 1024


def expire_flows(tables: Tables, now: float) -> None:
    """Check the flows of every wheel bucket whose time has come."""
    position = int(now // WHEEL_BUCKET_WIDTH)
    for due in sorted(key for key in tables.flows.wheel if key <= position):
        bucket = tables.flows.wheel.pop(due)
        for flow in bucket:
            expire_flow(tables, flow, bucket, now)


def expire_flow(
    tables: Tables, flow: FlowKey, bucket: list[FlowKey], now: float
) -> None:
    """Remove a flow whose deadline has passed; else schedule another check."""
    row = tables.flows.rows.get(flow)
    if row is None or row.bucket is not bucket:
        return
    if row.deadline <= now:
        remove_flow(tables, flow)
    else:
        tables.flows.schedule(flow, row, now)


def expire_hints(tables: Tables, now: float) -> None:
    """Drop expired hints, oldest first."""
    for _ in range(HINTS_PER_TICK):
        flow = next(iter(tables.hints), None)
        if flow is None or tables.hints[flow].deadline > now:
            return
        del tables.hints[flow]
