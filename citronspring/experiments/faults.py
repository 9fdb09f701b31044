"""Injects the faults of a scenario."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from citronspring.configuration.changes import DrainTarget, PurgeTarget, PutAccount
from citronspring.entities import Endpoint
from citronspring.errors import MoveRefusedError
from citronspring.experiments.checker import MAX_APPLY_SECONDS
from citronspring.experiments.coroutines import sleep, start_coroutine
from citronspring.experiments.history import ChangeRefused, Disturbed
from citronspring.experiments.scenario import FaultKind
from citronspring.experiments.workload import account_of
from citronspring.messages import LeaveRequested
from citronspring.standins.sample_configuration import (
    SYSTEM_ZONES,
    TARGETS_PER_ACCOUNT,
    account_parameters,
)
from citronspring.standins.tcp import Segment, State
from citronspring.tcp_flags import ACK

if TYPE_CHECKING:
    from collections.abc import Mapping

    from citronspring.experiments.run import Run
    from citronspring.experiments.scenario import Fault
    from citronspring.standins.sample_configuration import Operator

#: Seconds for which a leaving host serves its remaining flows.
LEAVE_TIME = 20.0

#: Seconds after which a killed host's replacement starts.
REPLACEMENT_TIME = 5.0

#: Minimum number of hosts that faults leave running.
MIN_HOSTS = 2

#: Minimum number of targets of a client account that operators leave active.
MIN_TARGETS = 2

#: Number of reads that return an old version in one fault.
STALE_READ_COUNT = 6

#: Bytes that a rogue target injects into flows of another client account.
ROGUE_BYTES = 100

#: Client accounts from which and to which a server moves.
MOVES_FROM = "bundelpers"
MOVES_TO = "inzendloket"

#: Client account whose limit of new flows is lowered, and the lowered limit in flows a
#: second.
LIMITED_ACCOUNT = "inzendloket"
LIMITED_RATE = 1.0

#: Seconds of outage before the platform is restored from a backup, and seconds until
#: operators make the next change after that.
OUTAGE_SECONDS = 0.5

#: Seconds between two attempts of an operator who moves a server.
MOVE_INTERVAL = 0.5

#: Maximum number of targets of a client account.
MAX_TARGETS = 12


def apply_fault(run: Run, fault: Fault) -> None:
    """Inject one fault."""
    match fault.kind:
        case FaultKind.HOST_KILL:
            kill_host(run)
        case FaultKind.HOST_JOIN:
            join_host(run)
        case FaultKind.HOST_LEAVE:
            leave_host(run)
        case FaultKind.HOST_FREEZE:
            freeze_host(run, fault)
        case FaultKind.TARGET_DRAIN:
            drain_target(run)
        case FaultKind.TARGET_ADD:
            add_target(run)
        case FaultKind.TARGET_SHED:
            shed_target(run, fault)
        case FaultKind.CONFIG_CHANGE:
            change_limits(run, run.rng.choice(sorted(TARGETS_PER_ACCOUNT)))
        case FaultKind.OPERATOR_RACE:
            race_operators(run)
        case FaultKind.PLATFORM_OUTAGE:
            begin_outage(run, fault)
        case FaultKind.LOST_ANSWER:
            run.platform.switches.lost_answers += 1
            change_limits(run, run.rng.choice(sorted(TARGETS_PER_ACCOUNT)))
        case FaultKind.STALE_READ:
            run.platform.switches.stale_reads += STALE_READ_COUNT
            change_limits(run, run.rng.choice(sorted(TARGETS_PER_ACCOUNT)))
            kill_host(run)
        case FaultKind.ROGUE_TARGET:
            inject_foreign_answers(run)
        case FaultKind.TARGET_MOVE:
            move_target(run)
        case FaultKind.LIMIT_CUT:
            cut_limit(run, fault)
        case FaultKind.ZONE_CUT:
            cut_zone(run, fault)
        case FaultKind.PLATFORM_RESTORE:
            restore_platform(run, fault)


def pick_host(run: Run) -> str | None:
    """Return a random running host, or None if too few would be left."""
    running = [
        host_id for host_id in run.network.hosts if host_id not in run.network.frozen
    ]
    if len(running) <= MIN_HOSTS:
        return None
    return run.rng.choice(running)


def kill_host(run: Run) -> None:
    """Kill a host; a process without its state replaces it later."""
    host_id = pick_host(run)
    if host_id is None:
        return
    run.end_host(host_id)
    run.network.after(REPLACEMENT_TIME, lambda: run.start_host(host_id))


def join_host(run: Run) -> None:
    """Start a new host."""
    host = run.define_host(len(run.defined_hosts))
    run.start_host(host.host_id)


def leave_host(run: Run) -> None:
    """Stop a host gracefully."""
    host_id = pick_host(run)
    if host_id is None:
        return
    deadline = run.network.now + LEAVE_TIME
    run.network.deliver_event(host_id, LeaveRequested(deadline))
    if host_id in run.network.fabric_hosts:
        run.network.after(1.0, lambda: remove_from_fabric(run, host_id))


def remove_from_fabric(run: Run, host_id: str) -> None:
    """Remove a leaving host from the fabric."""
    if host_id in run.network.fabric_hosts:
        run.network.fabric_hosts.remove(host_id)


def freeze_host(run: Run, fault: Fault) -> None:
    """Freeze a host; it resumes with the packets queued in its sockets."""
    host_id = pick_host(run)
    if host_id is None:
        return
    now = run.network.now
    until = now + fault.until - fault.at
    run.network.freeze(host_id)
    run.history.add(Disturbed(now, until, fault.kind.value, host_id))
    run.network.after(until - now, lambda: run.network.unfreeze(host_id))


def active_targets(run: Run, account_id: str) -> list[str]:
    """Return the listed targets of a client account that are not drained."""
    listed = [parameters["target_id"] for parameters in run.listed[account_id]]
    return [target_id for target_id in listed if target_id not in run.drained]


def drain_target(run: Run) -> None:
    """Drain a target."""
    account_id = run.rng.choice(sorted(TARGETS_PER_ACCOUNT))
    active = active_targets(run, account_id)
    if len(active) <= MIN_TARGETS:
        return
    target_id = run.rng.choice(active)
    run.drained.add(target_id)
    operator = run.make_operator(lambda: True)
    change = DrainTarget(
        account_id=account_id, target_id=target_id, **operator.identity()
    )
    run.submit(change.change_id, operator.commit(change), target_id)


def add_target(run: Run) -> None:
    """Start a target and add it to its client account."""
    account_id = run.rng.choice(sorted(TARGETS_PER_ACCOUNT))
    if run.next_number[account_id] < MAX_TARGETS:
        run.add_target(account_id)
        change_limits(run, account_id)


def put_account(
    run: Run, operator: Operator, account_id: str, rate: float | None = None
) -> PutAccount:
    """Return a change that puts a client account with its targets and a new limit."""
    parameters = account_parameters(account_id, 0)
    parameters["targets"] = list(run.listed[account_id])
    parameters["new_per_second"] = rate or float(run.rng.randint(5_000, 10_000))
    return operator.put_account(account_id, parameters)


def change_limits(run: Run, account_id: str) -> None:
    """Change the limit of new flows of a client account."""
    operator = run.make_operator(lambda: True)
    change = put_account(run, operator, account_id)
    run.submit(change.change_id, operator.commit(change), None)


def cut_limit(run: Run, fault: Fault) -> None:
    """Lower the limit of new flows of a client account for a while."""
    operator = run.make_operator(lambda: True)
    change = put_account(run, operator, LIMITED_ACCOUNT, LIMITED_RATE)
    run.submit(change.change_id, operator.commit(change), None)
    seconds = fault.until - fault.at
    run.network.after(seconds, lambda: change_limits(run, LIMITED_ACCOUNT))


def race_operators(run: Run) -> None:
    """Start two concurrent changes of the same client account."""
    account_id = run.rng.choice(sorted(TARGETS_PER_ACCOUNT))
    change_limits(run, account_id)
    change_limits(run, account_id)


def shed_target(run: Run, fault: Fault) -> None:
    """Make a target refuse every new connection for a while."""
    stack = run.network.targets[run.rng.choice(sorted(run.network.targets))]
    stack.shedding = True

    def end() -> None:
        stack.shedding = False

    run.network.after(fault.until - fault.at, end)


def inject_foreign_answers(run: Run) -> None:
    """Make a target answer flows of another client account with their numbers."""
    rogue = active_targets(run, "inzendloket")[0]
    for flow, connection in list(run.network.callers.connections.items()):
        if account_of(flow) == MOVES_FROM and connection.state is State.ESTABLISHED:
            foreign_answer = Segment(
                ACK, connection.expected, connection.next_seq, b"x" * ROGUE_BYTES
            )
            run.network.send_target_segments(rogue, [(flow, foreign_answer)])


def move_target(run: Run) -> None:
    """Start to move a server from one client account to the other."""
    active = active_targets(run, MOVES_FROM)
    if len(active) <= MIN_TARGETS:
        return
    target_id = run.rng.choice(active)
    run.drained.add(target_id)
    operator = run.make_operator(lambda: True)
    start_coroutine(
        run.network, move_server(run, operator, target_id), lambda finished: None
    )


async def move_server(run: Run, operator: Operator, target_id: str) -> None:
    """Move a server: unlist it, wait for its flows to end, purge it, list it again.

    The operator gives up if a call to the platform fails. The last step is repeated
    while it is refused; a refusal names the zones that have not confirmed that they
    released the address.
    """
    listed = run.listed[MOVES_FROM]
    [parameters] = [item for item in listed if item["target_id"] == target_id]
    listed.remove(parameters)
    await operator.commit(put_account(run, operator, MOVES_FROM))
    # The server may get new flows until every host has applied the change.
    await sleep(MAX_APPLY_SECONDS)
    while run.network.targets[target_id].open_count:
        await sleep(MOVE_INTERVAL)
    purge = PurgeTarget(
        account_id=MOVES_FROM, target_id=target_id, **operator.identity()
    )
    await operator.commit(purge)
    moved = {**parameters, "target_id": f"{MOVES_TO}-from-{target_id}"}
    run.listed[MOVES_TO].append(moved)
    while not await list_moved_target(run, operator, moved):
        await sleep(MOVE_INTERVAL)


async def list_moved_target(
    run: Run, operator: Operator, moved: Mapping[str, Any]
) -> bool:
    """List a server at its new client account; return whether that was accepted."""
    change = put_account(run, operator, MOVES_TO)
    ip = Endpoint.from_text(moved["tunnel"]).ip
    # Hosts may apply the change before the operator receives the answer.
    run.server_accounts[ip] = frozenset((MOVES_FROM, MOVES_TO))
    try:
        await operator.commit(change)
    except MoveRefusedError as error:
        run.server_accounts[ip] = frozenset((MOVES_FROM,))
        entry = ChangeRefused(run.network.now, change.change_id, error.kind)
        run.history.add(entry)
        return False
    run.server_accounts[ip] = frozenset((MOVES_TO,))
    stack = run.network.targets.pop(
        moved["target_id"].removeprefix(f"{MOVES_TO}-from-")
    )
    run.network.targets[moved["target_id"]] = stack
    run.network.zones[moved["target_id"]] = moved["zone"]
    run.accepted_counts[moved["target_id"]] = len(stack.accepted_at)
    return True


def begin_outage(run: Run, fault: Fault) -> None:
    """Make the platform unavailable for a while."""
    now = run.network.now
    until = now + fault.until - fault.at
    run.platform.switches.outage = True
    run.history.add(Disturbed(now, until, fault.kind.value, ""))

    def end() -> None:
        run.platform.switches.outage = False

    run.network.after(until - now, end)


def restore_platform(run: Run, fault: Fault) -> None:
    """Restore the platform from a backup that lacks the change made since.

    Running processes of operators remember what they have committed; processes that
    start after the restore do not.
    """
    backup = run.platform.backup()
    account_id = run.rng.choice(sorted(TARGETS_PER_ACCOUNT))
    operator = run.make_operator(lambda: True)
    change = put_account(run, operator, account_id)
    run.submit(change.change_id, operator.commit(change), None)
    now = run.network.now
    outage_at, until = (
        fault.until - OUTAGE_SECONDS,
        max(fault.until, now + OUTAGE_SECONDS),
    )
    run.history.add(Disturbed(now, until + OUTAGE_SECONDS, fault.kind.value, ""))

    def begin() -> None:
        run.platform.switches.outage = True

    def end() -> None:
        run.platform.switches.outage = False
        run.platform.restore(backup)
        for store in reversed(run.stores):
            start_coroutine(run.network, store.read_snapshot(), lambda finished: None)
        run.network.after(OUTAGE_SECONDS, lambda: change_limits(run, account_id))

    run.network.after(max(0.0, outage_at - now), begin)
    run.network.after(until - now, end)


def cut_zone(run: Run, fault: Fault) -> None:
    """Partition a zone from the other zones and from the platform."""
    zone = run.rng.choice(SYSTEM_ZONES)
    others = [other for other in (*SYSTEM_ZONES, "platform") if other != zone]
    cuts = {frozenset((zone, other)) for other in others}
    now = run.network.now
    until = now + fault.until - fault.at
    run.network.partitions |= cuts
    run.history.add(Disturbed(now, until, fault.kind.value, zone))
    run.network.after(
        until - now, lambda: run.network.partitions.difference_update(cuts)
    )
