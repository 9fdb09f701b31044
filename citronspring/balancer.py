"""Decision core of a host: turns events into actions; all state is in tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.control.tables import HashedRandomSource, JoinRow, MembershipTable
from citronspring.entities import HostState
from citronspring.messages import (
    ControlReceived,
    HostListRead,
    LeaveRequested,
    PacketReceived,
    ProbeResult,
    RecordsRead,
    RelayReceived,
    SnapshotRead,
    TargetUnreachable,
)
from citronspring.systems.control import receive_control
from citronspring.systems.drain import check_leaving, request_leave
from citronspring.systems.expiry import expire_flows, expire_hints
from citronspring.systems.fence import (
    CLOCK_JUMP,
    check_clock,
    drop_fenced,
    note_platform_answer,
    run_fence,
)
from citronspring.systems.flow_search import expire_searches
from citronspring.systems.health import (
    record_probe_result,
    record_unreachable,
    request_probes,
)
from citronspring.systems.idle import deactivate_idle_accounts
from citronspring.systems.loads import send_loads
from citronspring.systems.membership import apply_host_list, run_membership
from citronspring.systems.openings import expire_openings
from citronspring.systems.ownership import update_owners
from citronspring.systems.replication import (
    accept_records,
    accept_snapshot,
    run_replication,
)
from citronspring.systems.routing import receive_packet, receive_relay
from citronspring.systems.snapshot_transfer import run_transfer
from citronspring.tables import HostRow, Tables

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citronspring.control.tables import RandomSource
    from citronspring.entities import Host
    from citronspring.messages import Action, Event

#: Maximum number of flow rows on a host, unless its settings give another.
DEFAULT_MAX_FLOWS = 1_000_000

#: Events that are dropped while the host is fenced.
PACKET_EVENTS = (PacketReceived, RelayReceived)


class Balancer:
    """Decision core of one host.

    The core does no I/O, reads no clock and draws no random numbers of its own; all of
    these are passed in.

    Parameters
    ----------
    tables : Tables
        The state, made by `from_config`.
    """

    def __init__(self, tables: Tables) -> None:
        self.tables = tables

    @classmethod
    def from_config(
        cls,
        host: Host,
        peers: Iterable[Host] = (),
        max_flows: int = DEFAULT_MAX_FLOWS,
        *,
        incarnation: int = 0,
        rng: RandomSource | None = None,
    ) -> Balancer:
        """Create the core of a host that knows some peers and has no configuration.

        Parameters
        ----------
        host : Host
            The host itself.
        peers : iterable of Host
            Hosts named in the settings; the others are discovered through these.
        max_flows : int
            Maximum number of rows in the flow table.
        incarnation : int
            Boot time in milliseconds. It makes the updates of a restarted host
            supersede those about its previous run.
        rng : RandomSource, optional
            Source of random numbers; derived from host and incarnation by default.
        """
        tables = Tables(host.host_id, host.zone, host.group, max_flows)
        rng = rng or HashedRandomSource.from_host(host.host_id, incarnation)
        seeds = {member.host_id: member for member in peers}
        tables.membership = MembershipTable(rng, seeds=frozenset(seeds))
        tables.membership.join = JoinRow() if seeds else None
        for member in (host, *seeds.values()):
            tables.hosts[member.host_id] = HostRow(member, HostState.ALIVE)
        tables.me.incarnation = incarnation
        update_owners(tables, 0.0)
        return cls(tables)

    def receive(self, event: Event, now: float) -> list[Action]:
        """Handle one event.

        Parameters
        ----------
        event : Event
            The event.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Action
            Actions for the packet I/O to perform, in order.
        """
        actions: list[Action] = []
        tables = self.tables
        last_tick_at = tables.fence.last_tick_at
        if last_tick_at is not None and now - last_tick_at >= CLOCK_JUMP:
            check_clock(tables, now, actions)
        if tables.fence.until is not None and isinstance(event, PACKET_EVENTS):
            drop_fenced(tables, actions)
            return actions
        match event:
            case PacketReceived():
                tables.last_packet_at = now
                receive_packet(tables, event, now, actions)
            case RelayReceived():
                tables.last_packet_at = now
                receive_relay(tables, event, now, actions)
            case ControlReceived():
                receive_control(tables, event, now, actions)
            case SnapshotRead():
                accept_snapshot(tables, event.snapshot, now)
                note_platform_answer(tables, event.asked_at)
            case RecordsRead():
                accept_records(tables, event.records, now)
                note_platform_answer(tables, event.asked_at)
            case ProbeResult():
                record_probe_result(tables, event, now)
            case TargetUnreachable():
                record_unreachable(tables, event.target_id, now)
            case HostListRead():
                apply_host_list(tables, event, now)
            case LeaveRequested():
                request_leave(tables, event.deadline, now)
        return actions

    def tick(self, now: float) -> list[Action]:
        """Run the periodic systems; to be called several times a second."""
        actions: list[Action] = []
        tables = self.tables
        check_clock(tables, now, actions)
        run_fence(tables, now, actions)
        run_membership(tables, now, actions)
        run_replication(tables, now, actions)
        run_transfer(tables, now, actions)
        update_owners(tables, now)
        expire_openings(tables, now, actions)
        expire_searches(tables, now, actions)
        expire_flows(tables, now)
        expire_hints(tables, now)
        deactivate_idle_accounts(tables, now)
        request_probes(tables, now, actions)
        send_loads(tables, now, actions)
        check_leaving(tables, now, actions)
        return actions

    def dump(self) -> dict[str, object]:
        """Return the state as plain values, for operators."""
        tables = self.tables
        return {
            "host": tables.host_id,
            "zone": tables.zone,
            "group": tables.group,
            "revision": tables.revision,
            "leaving": tables.leave_deadline is not None,
            "fenced_until": tables.fence.until,
            "reader": tables.replication.is_reader,
            "hosts": {
                host_id: {
                    "state": row.state.value,
                    "incarnation": row.incarnation,
                    "revision": row.revision,
                    "zone": row.host.zone,
                }
                for host_id, row in sorted(tables.hosts.items())
            },
            "accounts": {
                account_id: {
                    "active": account_id in tables.active_accounts,
                    "open_flows": row.open_flows,
                    "targets": {
                        target.target.target_id: {
                            "flows": target.flows,
                            "remote_flows": target.remote_flows,
                            "leaving": target.target.leaving,
                            "ejected_until": target.health.ejected_until,
                            "on_probation": target.health.on_probation,
                            "warm_at": target.warm_at,
                        }
                        for target in row.targets
                    },
                }
                for account_id, row in sorted(tables.accounts.items())
            },
            "flows": len(tables.flows.rows),
            "openings": len(tables.openings),
            "walks": len(tables.searches),
            "hints": len(tables.hints),
            "counters": dict(sorted(tables.counters.items())),
        }
