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


def expect_request(tables: Tables, key: bytes, flow: FlowRow, now: float) -> None:
    """Expect the usual bytes of a request on a flow, if it is an upload.

    The modules of this and the next functions are imported on first use: a starting
    host needs neither for its first packets.
    """
    row = tables.request_sizes.get(flow.route)
    if row is not None and row.upload_size:
        from citronspring.tokens.load.host_capacity import expect_upload

        expect_upload(tables, key, flow, row.upload_size, now)


def count_request_bytes(
    tables: Tables, key: bytes, flow: FlowRow, size: int, now: float
) -> None:
    """Count new bytes of a request; expect the rest of it if it starts now."""
    if not flow.request_bytes and not flow.upload_bytes:
        expect_request(tables, key, flow, now)
    flow.request_bytes += size
    if flow.upload_bytes:
        from citronspring.tokens.load.host_capacity import note_upload_bytes

        note_upload_bytes(tables, flow, size, now)


def finish_request(tables: Tables, flow: FlowRow) -> None:
    """Learn the size of a request that has been answered."""
    from citronspring.tokens.load.request_sizes import note_request_size

    note_request_size(tables.request_size_row(flow.route), flow.request_bytes)
    flow.request_bytes = 0
    drop_expected_upload(tables, flow)


def drop_expected_upload(tables: Tables, flow: FlowRow) -> None:
    """Expect no more bytes of a flow's upload, if it has one."""
    if flow.upload_bytes:
        from citronspring.tokens.load.host_capacity import release_upload

        release_upload(tables, flow)


def close_flow(tables: Tables, key: bytes, flow: FlowRow) -> None:
    """Remove the row of a flow."""
    end_request(flow)
    drop_expected_upload(tables, flow)
    count_load(flow.target, flows=-1)
    del tables.flows[key]


def expire_flows(tables: Tables, now: float) -> None:
    """Remove the rows of flows that have exceeded the idle timeout."""
    for key, flow in list(tables.flows.items()):
        if flow.expires_at <= now:
            close_flow(tables, key, flow)
