"""Flow rows: creating, counting at their targets, and expiring them."""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING, heappush
from citronspring.tokens.placement import count_load
from citronspring.tokens.rows import FlowRow
from citronspring.tokens.tables import MAX_FLOWS

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet, Route
    from citronspring.tokens.rows import TargetRow
    from citronspring.tokens.tables import Tables

#: Largest number of bytes of a flow in flight: 16 packets of 1,200 bytes.
MAX_IN_FLIGHT = 16 * 1200

#: Seconds without a byte after which an upload counts as abandoned.
UPLOAD_TIMEOUT = 2.0

#: Seconds for which a copy of a packet may be under way: a caller retransmits after
#: 200 ms, and one that has closed its flow sends nothing of it any more.
COPY_LIFETIME = 0.5

#: Number of the oldest rows, of which a full table gives up those of idle flows.
EVICTION_BATCH = 256

#: Seconds after which no caller repeats an opening any more.
OPENING_LIFETIME = 2.0

#: Interval in seconds between two passes that remove expired rows.
SWEEP_INTERVAL = 1.0


def start_flow(
    tables: Tables, packet: Packet, route: Route, target: TargetRow, now: float
) -> FlowRow | None:
    """Create the row of a flow; return None if the table is full.

    A flow without a row is forwarded all the same once its caller returns the target's
    own token; it only adds no evidence about its target.
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


def make_room(tables: Tables, now: float) -> None:
    """Remove rows that are needed least if the table is full, so that one may start.

    An opening needs its row: by it, copies of the opening and what answers them are
    told from a new flow. Without one, a copy goes to a second target, and the caller's
    packets are forwarded to the target that has answered last.
    """
    if len(tables.flows) < MAX_FLOWS:
        return
    rows = zip(range(EVICTION_BATCH), tables.flows.items(), strict=False)
    for key, flow in [row for _, row in rows]:
        abandoned = now - flow.first_sent_at > OPENING_LIFETIME
        if not flow.busy and (flow.open or abandoned):
            tables.counters["rows-evicted"] += 1
            close_flow(tables, key, flow)


def touch_flow(tables: Tables, flow: FlowRow, now: float) -> None:
    """Extend the lifetime of a flow's row by the idle timeout."""
    flow.expires_at = now + tables.idle_timeout
    flow.newest_until = now + COPY_LIFETIME


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
    if flow.upload_bytes:
        set_upload_bytes(tables, flow, 0)
    count_load(flow.target, flows=-1)
    del tables.flows[key]


def expire_flows(tables: Tables, now: float) -> None:
    """Remove the rows of flows that have exceeded the idle timeout."""
    for key, flow in list(tables.flows.items()):
        if flow.expires_at <= now:
            close_flow(tables, key, flow)


# Request sizes and expected bytes -----------------------------------------------


def count_request_bytes(
    tables: Tables, key: bytes, flow: FlowRow, size: int, now: float
) -> None:
    """Count new bytes of a request; expect the rest of it if it starts now."""
    if not flow.request_bytes and not flow.upload_bytes:
        expect_request(tables, key, flow, now)
    flow.request_bytes += size
    before = flow.upload_bytes
    if before:
        # For each packet of an upload, a call of `set_upload_bytes` would cost a
        # microsecond.
        after = before - size if before > size else 0
        flow.upload_bytes = after
        tables.uploads.remaining += after - before
        if after < MAX_IN_FLIGHT:
            tables.uploads.in_flight += after - min(before, MAX_IN_FLIGHT)


def expect_request(tables: Tables, key: bytes, flow: FlowRow, now: float) -> None:
    """Add the usual size of a route's uploads to the bytes expected on the link."""
    row = tables.request_sizes.get(flow.route)
    if row is not None and row.upload_size:
        set_upload_bytes(tables, flow, row.upload_size)
        if key not in tables.uploads.with_deadline:
            tables.uploads.with_deadline.add(key)
            heappush(tables.uploads.deadlines, (now + UPLOAD_TIMEOUT, key))


def finish_request(tables: Tables, flow: FlowRow) -> None:
    """Note the size of a request that has been answered."""
    tables.answered_requests.append((flow.route, flow.request_bytes))
    flow.request_bytes = 0
    if flow.upload_bytes:
        set_upload_bytes(tables, flow, 0)


def set_upload_bytes(tables: Tables, flow: FlowRow, size: int) -> None:
    """Set the expected bytes of a flow, and update the sums over all flows."""
    uploads = tables.uploads
    before = flow.upload_bytes
    uploads.remaining += size - before
    uploads.in_flight += min(size, MAX_IN_FLIGHT) - min(before, MAX_IN_FLIGHT)
    flow.upload_bytes = size
