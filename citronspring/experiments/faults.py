"""Brings about the faults of a scenario."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.configuration.changes import DrainTarget
from citronspring.experiments.history import Disturbed
from citronspring.experiments.scenario import FaultKind
from citronspring.messages import LeaveRequested
from citronspring.standins.system import (
    ACCOUNT_SIZES,
    SYSTEM_ZONES,
    account_parameters,
    target_parameters,
)

if TYPE_CHECKING:
    from citronspring.experiments.run import Run
    from citronspring.experiments.scenario import Fault

#: Seconds a leaving host serves what is in flight.
LEAVE_TIME = 20.0

#: Seconds after which a killed host's replacement starts.
REPLACEMENT_TIME = 5.0

#: Hosts that keep running whatever befalls the others.
LEAST_HOSTS = 2

#: Targets of an account that an operator leaves active.
LEAST_TARGETS = 2

#: Most targets an account grows to.
MOST_TARGETS = 12


def apply_fault(run: Run, fault: Fault) -> None:
    """Bring about one fault."""
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
            change_limits(run, run.rng.choice(sorted(ACCOUNT_SIZES)))
        case FaultKind.OPERATOR_RACE:
            race_operators(run)
        case FaultKind.PLATFORM_OUTAGE:
            outage(run, fault)
        case FaultKind.LOST_ANSWER:
            run.platform.switches.lost_answers += 1
            change_limits(run, run.rng.choice(sorted(ACCOUNT_SIZES)))
        case FaultKind.ZONE_CUT:
            cut_zone(run, fault)


def pick_host(run: Run) -> str | None:
    """Return a running host that the others can do without."""
    running = [
        host_id for host_id in run.network.hosts if host_id not in run.network.frozen
    ]
    if len(running) <= LEAST_HOSTS:
        return None
    return run.rng.choice(running)


def kill_host(run: Run) -> None:
    """Kill a host; a process that knows nothing takes its place later."""
    host_id = pick_host(run)
    if host_id is None:
        return
    run.end_host(host_id)
    run.network.after(REPLACEMENT_TIME, lambda: run.start_host(host_id))


def join_host(run: Run) -> None:
    """Start a host that was not there before."""
    host = run.describe_host(len(run.described))
    run.start_host(host.host_id)


def leave_host(run: Run) -> None:
    """Stop a host gracefully."""
    host_id = pick_host(run)
    if host_id is None:
        return
    deadline = run.network.now + LEAVE_TIME
    run.network.give(host_id, LeaveRequested(deadline))
    if host_id in run.network.sprayed:
        run.network.after(1.0, lambda: unspray(run, host_id))


def unspray(run: Run, host_id: str) -> None:
    """Let the fabric take a leaving host out."""
    if host_id in run.network.sprayed:
        run.network.sprayed.remove(host_id)


def freeze_host(run: Run, fault: Fault) -> None:
    """Freeze a host; it wakes with what waited in its sockets."""
    host_id = pick_host(run)
    if host_id is None:
        return
    now = run.network.now
    until = now + fault.until - fault.at
    run.network.freeze(host_id)
    run.history.add(Disturbed(now, until, fault.kind.value, host_id))
    run.network.after(until - now, lambda: run.network.wake(host_id))


def active_targets(run: Run, account_id: str) -> list[str]:
    """Return the targets of an account that nobody drained."""
    return [
        target_id
        for target_id in run.network.targets
        if target_id.startswith(account_id) and target_id not in run.drained
    ]


def drain_target(run: Run) -> None:
    """Have an operator drain a target."""
    account_id = run.rng.choice(sorted(ACCOUNT_SIZES))
    active = active_targets(run, account_id)
    if len(active) <= LEAST_TARGETS:
        return
    target_id = run.rng.choice(active)
    run.drained.add(target_id)
    operator = run.make_operator(lambda: True)
    change = DrainTarget(
        account_id=account_id, target_id=target_id, **operator.identity()
    )
    run.submit(change.change_id, operator.commit(change), target_id)


def add_target(run: Run) -> None:
    """Start a target and have an operator add it."""
    account_id = run.rng.choice(sorted(ACCOUNT_SIZES))
    number = sum(key.startswith(account_id) for key in run.network.targets)
    if number >= MOST_TARGETS:
        return
    run.add_target(account_id, number)
    put_parameters(run, account_id, "add")


def put_parameters(run: Run, account_id: str, note: str) -> None:
    """Have an operator put an account with all targets that run now."""
    numbers = sum(key.startswith(account_id) for key in run.network.targets)
    parameters = account_parameters(account_id, 0)
    parameters["targets"] = [
        target_parameters(account_id, number, SYSTEM_ZONES) for number in range(numbers)
    ]
    parameters["new_per_second"] = float(run.rng.randint(5_000, 10_000))
    operator = run.make_operator(lambda: True)
    change = operator.put_account(account_id, parameters)
    run.submit(change.change_id, operator.commit(change), None)


def change_limits(run: Run, account_id: str) -> None:
    """Have an operator change an account's limits."""
    put_parameters(run, account_id, "limits")


def race_operators(run: Run) -> None:
    """Have two operators change the same account at the same moment."""
    account_id = run.rng.choice(sorted(ACCOUNT_SIZES))
    change_limits(run, account_id)
    change_limits(run, account_id)


def shed_target(run: Run, fault: Fault) -> None:
    """Have a target refuse every new connection for a while."""
    stack = run.network.targets[run.rng.choice(sorted(run.network.targets))]
    stack.shedding = True

    def end() -> None:
        stack.shedding = False

    run.network.after(fault.until - fault.at, end)


def outage(run: Run, fault: Fault) -> None:
    """Take the platform away for a while."""
    now = run.network.now
    until = now + fault.until - fault.at
    run.platform.switches.outage = True
    run.history.add(Disturbed(now, until, fault.kind.value, ""))

    def end() -> None:
        run.platform.switches.outage = False

    run.network.after(until - now, end)


def cut_zone(run: Run, fault: Fault) -> None:
    """Cut a zone off from the other zones and from the platform."""
    zone = run.rng.choice(SYSTEM_ZONES)
    others = [other for other in (*SYSTEM_ZONES, "platform") if other != zone]
    cuts = {frozenset((zone, other)) for other in others}
    now = run.network.now
    until = now + fault.until - fault.at
    run.network.cuts |= cuts
    run.history.add(Disturbed(now, until, fault.kind.value, zone))
    run.network.after(until - now, lambda: run.network.cuts.difference_update(cuts))
