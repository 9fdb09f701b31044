"""Faults that are chosen by the seed and injected into a run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from citronspring.emulator.network import BASELINE_LOSS
from citronspring.emulator.store import Outage, reader_key
from citronspring.emulator.world import TRAFFIC_START, ZONES
from citronspring.tokens.entries import ZoneReader

if TYPE_CHECKING:
    from random import Random

    from citronspring.emulator.hosts import EmulatedHost
    from citronspring.emulator.targets import EmulatedTarget
    from citronspring.emulator.world import World

#: Seconds of traffic without faults, at the start and at the end.
FAULT_FREE_START = 3.0
FAULT_FREE_END = 6.0

#: Minimum and maximum number of faults in a run.
FAULT_COUNT = (2, 6)

#: Routes that one fault adds to the configuration, and the maximum of routes without
#: traffic: 1 MB in an answer of the store.
ADDED_ROUTES = 2000
MAX_IDLE_ROUTES = 4000

#: Configuration changes in quick succession, and the seconds between them.
STORM_CHANGES = 20
STORM_GAP = 0.1

#: Share of datagrams that a lossy link drops.
HIGH_LOSS = 0.03


@dataclass(frozen=True, slots=True)
class Fault:
    """A scheduled fault."""

    at: float
    kind: str
    seconds: float


def schedule_faults(world: World, kinds: dict[str, FaultAction]) -> list[Fault]:
    """Choose random faults of the given kinds and schedule them."""
    rng = world.clock.rng
    last = TRAFFIC_START + world.sizes.seconds - FAULT_FREE_END
    faults = [
        Fault(
            rng.uniform(TRAFFIC_START + FAULT_FREE_START, last),
            rng.choice(sorted(kinds)),
            rng.uniform(0.5, 5.0),
        )
        for _ in range(rng.randint(*FAULT_COUNT))
    ]
    for fault in sorted(faults, key=lambda one: one.at):
        inject = kinds[fault.kind]
        world.clock.at(fault.at, lambda f=fault, run=inject: run(world, f))
    return sorted(faults, key=lambda one: one.at)


def active_targets(world: World) -> list[EmulatedTarget]:
    """Return the targets that run and are not leaving."""
    return [
        target
        for target in world.targets.values()
        if target.alive and target.leaving_at is None
    ]


def pick_host(world: World) -> EmulatedHost:
    """Return a random host."""
    return world.clock.rng.choice(world.hosts)


def crash_target(world: World, fault: Fault) -> None:
    """Crash a target; its entry is removed after three missed heartbeats."""
    target = world.clock.rng.choice(active_targets(world))
    target.crash()
    world.clock.after(3.6, lambda: world.store.remove_target(target))
    world.clock.after(
        fault.seconds, lambda: world.add_target(target.service, target.zone)
    )


def replace_targets(world: World, fault: Fault) -> None:
    """Release a service: replace two targets one after the other."""
    rng: Random = world.clock.rng
    for number, target in enumerate(rng.sample(active_targets(world), 2)):
        world.clock.after(number * 0.8, lambda one=target: world.replace_target(one))


def slow_target(world: World, fault: Fault) -> None:
    """Make a target ten times slower for a while."""
    target = world.clock.rng.choice(active_targets(world))
    target.slowness = 10.0
    world.clock.after(fault.seconds, lambda: setattr(target, "slowness", 1.0))


def kill_host(world: World, fault: Fault) -> None:
    """Kill a host's process and start it again later."""
    host = pick_host(world)
    host.kill()
    world.clock.after(fault.seconds, lambda: restart_host(host))


def restart_host(host: EmulatedHost) -> None:
    """Start a host's process unless it runs already."""
    if host.core is None:
        host.start()


def kill_all_hosts(world: World, fault: Fault) -> None:
    """Kill the processes of all hosts at once and start them again."""
    for host in world.hosts:
        host.kill()
        world.clock.after(0.8, lambda one=host: restart_host(one))


def freeze_host(world: World, fault: Fault) -> None:
    """Freeze a host's process; it resumes with its old state."""
    host = pick_host(world)
    host.freeze()
    world.clock.after(fault.seconds, host.resume)


def stop_host(world: World, fault: Fault) -> None:
    """Stop a host gracefully; it starts again."""
    pick_host(world).stop()


def cut_zone(world: World, fault: Fault) -> None:
    """Partition a zone from the others; callers still reach it."""
    zone = world.clock.rng.choice(ZONES)
    world.network.partition(zone)
    world.clock.after(fault.seconds, lambda: world.network.heal(zone))


def lose_datagrams(world: World, fault: Fault) -> None:
    """Raise the loss rate of all links for a while."""
    network = world.network
    network.loss = HIGH_LOSS
    world.clock.after(fault.seconds, lambda: restore_baseline_loss(world))


def restore_baseline_loss(world: World) -> None:
    """Set the loss rate back to the baseline."""
    world.network.loss = BASELINE_LOSS
    for zone in ZONES:
        world.network.disturbed_at[zone] = world.clock.now


def silence_store(world: World, fault: Fault) -> None:
    """Make the store unresponsive: it accepts calls and answers none."""
    begin_store_outage(world, fault, Outage.UNRESPONSIVE, frozenset())


def refuse_hosts(world: World, fault: Fault) -> None:
    """Make the store fail for two hosts and serve the others."""
    hosts = world.clock.rng.sample(world.hosts, 2)
    ids = frozenset(host.host_id for host in hosts)
    kind = world.clock.rng.choice(list(Outage))
    begin_store_outage(world, fault, kind, ids)


def begin_store_outage(
    world: World, fault: Fault, outage: Outage, hosts: frozenset[str]
) -> None:
    """Begin an outage of the store and schedule its end."""
    world.store.begin_outage(outage, hosts)
    world.clock.after(fault.seconds, world.store.end_outage)


def slow_store(world: World, fault: Fault) -> None:
    """Make the store fifty times slower for a while."""
    world.store.slowness = 50.0
    world.store.disturbed_at = world.clock.now
    world.clock.after(fault.seconds, world.store.end_outage)


def lose_history(world: World, fault: Fault) -> None:
    """Suppress watch notifications while changes are made, then compact the history."""
    world.store.lose_history()
    world.clock.after(0.5, world.change_configuration)
    world.clock.after(0.6, lambda: replace_targets(world, fault))


def lapse_entries(world: World, fault: Fault) -> None:
    """Expire the entries of four running targets, which register again soon after."""
    store = world.store
    store.disturbed_at = world.clock.now
    for target in world.clock.rng.sample(active_targets(world), 4):
        store.remove_target(target)
        world.clock.after(1.8, lambda one=target: register_target(world, one))


def register_target(world: World, target: EmulatedTarget) -> None:
    """Write the entry of a running target again."""
    world.store.disturbed_at = world.clock.now
    if target.alive:
        world.store.put_target(target.entry())


def change_configuration(world: World, fault: Fault) -> None:
    """Change the configuration three times in a row."""
    for number in range(3):
        world.clock.after(number * 0.4, world.change_configuration)


def grow_configuration(world: World, fault: Fault) -> None:
    """Grow the configuration by thousands of routes, and change it again soon after."""
    world.idle_routes = min(world.idle_routes + ADDED_ROUTES, MAX_IDLE_ROUTES)
    world.change_configuration()
    world.clock.after(fault.seconds, world.change_configuration)


def storm_configuration(world: World, fault: Fault) -> None:
    """Change the configuration many times in quick succession."""
    for number in range(STORM_CHANGES):
        world.clock.after(number * STORM_GAP, world.change_configuration)


# Faults of zone readers -----------------------------------------------------------


def pick_reader(world: World) -> EmulatedHost:
    """Return a random zone reader, or a random host if there is none."""
    readers = [host for host in world.hosts if is_zone_reader(world, host)]
    return world.clock.rng.choice(readers or world.hosts)


def is_zone_reader(world: World, host: EmulatedHost) -> bool:
    """Return whether a host is registered as the reader of its zone."""
    entry = world.store.entries.get(reader_key(host.zone))
    return isinstance(entry, ZoneReader) and entry.host_id == host.host_id


def kill_reader(world: World, fault: Fault) -> None:
    """Kill a zone reader as a change is made; its zone receives the change late."""
    host = pick_reader(world)
    host.kill()
    world.change_configuration()
    world.clock.after(fault.seconds, lambda: restart_host(host))


def freeze_reader(world: World, fault: Fault) -> None:
    """Freeze a zone reader as a change is made."""
    host = pick_reader(world)
    host.freeze()
    world.change_configuration()
    world.clock.after(fault.seconds, host.resume)


def cut_reader(world: World, fault: Fault) -> None:
    """Partition a zone reader from the store as changes are made.

    The other hosts count as undisturbed: the bound applies to them throughout.
    """
    host = pick_reader(world)
    world.store.partition(host.host_id)
    host.disturbed_at = world.clock.now
    world.change_configuration()
    replace_targets(world, fault)
    world.clock.after(fault.seconds, lambda: reconnect_host(world, host))


def reconnect_host(world: World, host: EmulatedHost) -> None:
    """End the partition between a host and the store."""
    world.store.partitioned_hosts.discard(host.host_id)
    host.disturbed_at = world.clock.now


def revoke_reader(world: World, fault: Fault) -> None:
    """Remove the registration of a zone reader while its lease is valid."""
    world.store.revoke_reader(world.clock.rng.choice(ZONES))


# Faults of zones, and of targets in warm-up -----------------------------------------


def drain_zone(world: World, fault: Fault) -> None:
    """Drain a zone for a while."""
    zone = world.clock.rng.choice(ZONES)
    world.drain_zone(zone)
    world.clock.after(fault.seconds, lambda: world.end_drain(zone))


def drain_again(world: World, fault: Fault) -> None:
    """Drain a zone for less than a second, and drain it again right after."""
    zone = world.clock.rng.choice(ZONES)
    world.drain_zone(zone)
    world.clock.after(0.6, lambda: world.end_drain(zone))
    world.clock.after(0.7, lambda: world.drain_zone(zone))
    world.clock.after(0.7 + fault.seconds, lambda: world.end_drain(zone))


def drain_unheard(world: World, fault: Fault) -> None:
    """End a drain while watch notifications are suppressed and history is lost."""
    zone = world.clock.rng.choice(ZONES)
    world.drain_zone(zone)
    world.clock.after(fault.seconds, world.store.lose_history)
    world.clock.after(fault.seconds + 0.5, lambda: world.end_drain(zone))


def return_cold(world: World, fault: Fault) -> None:
    """Crash all targets of a zone; their replacements start together, in warm-up."""
    zone = world.clock.rng.choice(ZONES)
    for target in active_targets(world):
        if target.zone == zone:
            target.crash()
            world.clock.after(3.6, lambda one=target: world.store.remove_target(one))
            world.clock.after(
                fault.seconds, lambda one=target: world.add_target(one.service, zone)
            )


def release_service(world: World, fault: Fault) -> None:
    """Replace all targets of the larger service, three at a time."""
    desk = [target for target in active_targets(world) if target.service == "desk"]
    for number, target in enumerate(desk):
        world.clock.after(
            number // 3 * 0.8, lambda one=target: release_target(world, one)
        )


def scale_out(world: World, fault: Fault) -> None:
    """Start a third more targets of the larger service in each zone."""
    for zone in ZONES:
        for _ in range(world.sizes.desk_per_zone // 3):
            world.add_target("desk", zone)


def release_target(world: World, target: EmulatedTarget) -> None:
    """Replace a target that still runs and is not leaving."""
    if target.alive and target.leaving_at is None:
        world.replace_target(target)


FaultAction = Callable[["World", Fault], None]

#: Kinds of faults of the default runs.
KINDS: dict[str, FaultAction] = {
    "change-configuration": change_configuration,
    "crash-target": crash_target,
    "cut-zone": cut_zone,
    "freeze-host": freeze_host,
    "kill-all-hosts": kill_all_hosts,
    "kill-host": kill_host,
    "lapse-entries": lapse_entries,
    "lose-datagrams": lose_datagrams,
    "lose-history": lose_history,
    "refuse-hosts": refuse_hosts,
    "replace-targets": replace_targets,
    "silence-store": silence_store,
    "slow-store": slow_store,
    "slow-target": slow_target,
    "stop-host": stop_host,
}

#: `KINDS` and the faults of zone readers. A separate table, so that the seeds of runs
#: with `KINDS` keep choosing the same faults.
READER_KINDS: dict[str, FaultAction] = {
    **KINDS,
    "cut-reader": cut_reader,
    "freeze-reader": freeze_reader,
    "kill-reader": kill_reader,
    "revoke-reader": revoke_reader,
}

#: `READER_KINDS` and configurations that grow to 700 KB and more, for runs with a
#: limited download rate.
LARGE_KINDS: dict[str, FaultAction] = {
    **READER_KINDS,
    "grow-configuration": grow_configuration,
    "storm-configuration": storm_configuration,
}

#: `READER_KINDS`, drained zones, and zones that return with targets in warm-up, for
#: runs in which targets that start need a warm-up.
ZONE_KINDS: dict[str, FaultAction] = {
    **READER_KINDS,
    "drain-again": drain_again,
    "drain-unheard": drain_unheard,
    "drain-zone": drain_zone,
    "release-service": release_service,
    "return-cold": return_cold,
}
