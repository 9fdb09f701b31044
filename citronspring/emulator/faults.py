"""Faults that are drawn from a seed and befall a world."""

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

#: Seconds of traffic before the first fault, and without one at the end.
FAULT_FREE_START = 3.0
FAULT_FREE_END = 6.0

#: Faults of a run, at least and at most.
FAULT_COUNT = (2, 6)

#: Routes by which a configuration grows, and the most without traffic: 1 MB as the
#: store answers with it.
ADDED_ROUTES = 2000
MAX_IDLE_ROUTES = 4000

#: Changes in a row, and the seconds between them.
STORM_CHANGES = 20
STORM_GAP = 0.1

#: Share of datagrams that a bad link loses.
HIGH_LOSS = 0.03


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a run."""

    at: float
    kind: str
    seconds: float


def schedule_faults(world: World, kinds: dict[str, FaultAction]) -> list[Fault]:
    """Draw the faults of a run from some kinds, and plan them."""
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
        befall = kinds[fault.kind]
        world.clock.at(fault.at, lambda f=fault, run=befall: run(world, f))
    return sorted(faults, key=lambda one: one.at)


def active_targets(world: World) -> list[EmulatedTarget]:
    """Return the targets that are up and stay."""
    return [
        target
        for target in world.targets.values()
        if target.alive and target.leaving_at is None
    ]


def pick_host(world: World) -> EmulatedHost:
    """Draw a host."""
    return world.clock.rng.choice(world.hosts)


def crash_target(world: World, fault: Fault) -> None:
    """A target ends without a word; its entry goes after three heartbeats."""
    target = world.clock.rng.choice(active_targets(world))
    target.crash()
    world.clock.after(3.6, lambda: world.store.remove_target(target))
    world.clock.after(
        fault.seconds, lambda: world.add_target(target.service, target.zone)
    )


def replace_targets(world: World, fault: Fault) -> None:
    """A release: two targets leave one after the other, new ones take over."""
    rng: Random = world.clock.rng
    for number, target in enumerate(rng.sample(active_targets(world), 2)):
        world.clock.after(number * 0.8, lambda one=target: world.replace_target(one))


def slow_target(world: World, fault: Fault) -> None:
    """A target works ten times slower for a while."""
    target = world.clock.rng.choice(active_targets(world))
    target.slowness = 10.0
    world.clock.after(fault.seconds, lambda: setattr(target, "slowness", 1.0))


def kill_host(world: World, fault: Fault) -> None:
    """A host's process is killed and starts again."""
    host = pick_host(world)
    host.kill()
    world.clock.after(fault.seconds, lambda: restart_host(host))


def restart_host(host: EmulatedHost) -> None:
    """Start a host's process unless something else has."""
    if host.core is None:
        host.start()


def kill_all_hosts(world: World, fault: Fault) -> None:
    """All processes are killed at once."""
    for host in world.hosts:
        host.kill()
        world.clock.after(0.8, lambda one=host: restart_host(one))


def freeze_host(world: World, fault: Fault) -> None:
    """A host stands still, then goes on with what it knew."""
    host = pick_host(world)
    host.freeze()
    world.clock.after(fault.seconds, host.resume)


def stop_host(world: World, fault: Fault) -> None:
    """An operator stops a host in order; it starts again."""
    pick_host(world).stop()


def cut_zone(world: World, fault: Fault) -> None:
    """A zone is cut off from the others; callers still reach it."""
    zone = world.clock.rng.choice(ZONES)
    world.network.partition(zone)
    world.clock.after(fault.seconds, lambda: world.network.heal(zone))


def lose_datagrams(world: World, fault: Fault) -> None:
    """Links lose more datagrams than usual."""
    network = world.network
    network.loss = HIGH_LOSS
    world.clock.after(fault.seconds, lambda: restore_baseline_loss(world))


def restore_baseline_loss(world: World) -> None:
    """Links are well again."""
    world.network.loss = BASELINE_LOSS
    for zone in ZONES:
        world.network.disturbed_at[zone] = world.clock.now


def silence_store(world: World, fault: Fault) -> None:
    """The store takes calls and answers none."""
    begin_store_outage(world, fault, Outage.UNRESPONSIVE, frozenset())


def refuse_hosts(world: World, fault: Fault) -> None:
    """The store turns some hosts away and serves the others."""
    hosts = world.clock.rng.sample(world.hosts, 2)
    ids = frozenset(host.host_id for host in hosts)
    kind = world.clock.rng.choice(list(Outage))
    begin_store_outage(world, fault, kind, ids)


def begin_store_outage(
    world: World, fault: Fault, trouble: Outage, hosts: frozenset[str]
) -> None:
    """Begin a trouble of the store that ends by itself."""
    world.store.begin_outage(trouble, hosts)
    world.clock.after(fault.seconds, world.store.end_outage)


def slow_store(world: World, fault: Fault) -> None:
    """The store takes fifty times as long."""
    world.store.slowness = 50.0
    world.store.disturbed_at = world.clock.now
    world.clock.after(fault.seconds, world.store.end_outage)


def lose_history(world: World, fault: Fault) -> None:
    """Watches hear nothing while a change is made; then history is gone."""
    world.store.lose_history()
    world.clock.after(0.5, world.change_configuration)
    world.clock.after(0.6, lambda: replace_targets(world, fault))


def lapse_entries(world: World, fault: Fault) -> None:
    """Entries of living targets lapse; the targets register again soon after."""
    store = world.store
    store.disturbed_at = world.clock.now
    for target in world.clock.rng.sample(active_targets(world), 4):
        store.remove_target(target)
        world.clock.after(1.8, lambda one=target: register_target(world, one))


def register_target(world: World, target: EmulatedTarget) -> None:
    """Have a target that lives put its entry back."""
    world.store.disturbed_at = world.clock.now
    if target.alive:
        world.store.put_target(target.entry())


def change_configuration(world: World, fault: Fault) -> None:
    """The operators change the configuration three times in a row."""
    for number in range(3):
        world.clock.after(number * 0.4, world.change_configuration)


def grow_configuration(world: World, fault: Fault) -> None:
    """The configuration grows by thousands of routes, and changes again soon after."""
    world.idle_routes = min(world.idle_routes + ADDED_ROUTES, MAX_IDLE_ROUTES)
    world.change_configuration()
    world.clock.after(fault.seconds, world.change_configuration)


def storm_configuration(world: World, fault: Fault) -> None:
    """The operators change the configuration many times in a row."""
    for number in range(STORM_CHANGES):
        world.clock.after(number * STORM_GAP, world.change_configuration)


# Of the host that reads the store for its zone ------------------------------------


def pick_reader(world: World) -> EmulatedHost:
    """Draw one of the zones' readers, any host if there is none."""
    readers = [host for host in world.hosts if is_zone_reader(world, host)]
    return world.clock.rng.choice(readers or world.hosts)


def is_zone_reader(world: World, host: EmulatedHost) -> bool:
    """Whether a host is registered as the reader of its zone."""
    entry = world.store.entries.get(reader_key(host.zone))
    return isinstance(entry, ZoneReader) and entry.host_id == host.host_id


def kill_reader(world: World, fault: Fault) -> None:
    """A zone's reader is killed, and its zone hears of a change later."""
    host = pick_reader(world)
    host.kill()
    world.change_configuration()
    world.clock.after(fault.seconds, lambda: restart_host(host))


def freeze_reader(world: World, fault: Fault) -> None:
    """A zone's reader stands still as a change is made."""
    host = pick_reader(world)
    host.freeze()
    world.change_configuration()
    world.clock.after(fault.seconds, host.resume)


def cut_reader(world: World, fault: Fault) -> None:
    """A zone's reader alone hears nothing of the store, as changes are made.

    To the other hosts this is no trouble: the bound holds for them all the while.
    """
    host = pick_reader(world)
    world.store.partition(host.host_id)
    host.disturbed_at = world.clock.now
    world.change_configuration()
    replace_targets(world, fault)
    world.clock.after(fault.seconds, lambda: reconnect_host(world, host))


def reconnect_host(world: World, host: EmulatedHost) -> None:
    """Let a host reach the store again."""
    world.store.partitioned_hosts.discard(host.host_id)
    host.disturbed_at = world.clock.now


def revoke_reader(world: World, fault: Fault) -> None:
    """The registration of a zone's reader goes, though its lease runs."""
    world.store.revoke_reader(world.clock.rng.choice(ZONES))


# Of zones, and of targets that start cold ------------------------------------------


def drain_zone(world: World, fault: Fault) -> None:
    """Operators drain a zone, and use it again."""
    zone = world.clock.rng.choice(ZONES)
    world.drain_zone(zone)
    world.clock.after(fault.seconds, lambda: world.end_drain(zone))


def drain_again(world: World, fault: Fault) -> None:
    """Operators drain a zone for less than a second, and once more right after."""
    zone = world.clock.rng.choice(ZONES)
    world.drain_zone(zone)
    world.clock.after(0.6, lambda: world.end_drain(zone))
    world.clock.after(0.7, lambda: world.drain_zone(zone))
    world.clock.after(0.7 + fault.seconds, lambda: world.end_drain(zone))


def drain_unheard(world: World, fault: Fault) -> None:
    """A drain ends while watches hear nothing and history is lost."""
    zone = world.clock.rng.choice(ZONES)
    world.drain_zone(zone)
    world.clock.after(fault.seconds, world.store.lose_history)
    world.clock.after(fault.seconds + 0.5, lambda: world.end_drain(zone))


def return_cold(world: World, fault: Fault) -> None:
    """A zone's targets end without a word; others start in their place, all at once."""
    zone = world.clock.rng.choice(ZONES)
    for target in active_targets(world):
        if target.zone == zone:
            target.crash()
            world.clock.after(3.6, lambda one=target: world.store.remove_target(one))
            world.clock.after(
                fault.seconds, lambda one=target: world.add_target(one.service, zone)
            )


def release_service(world: World, fault: Fault) -> None:
    """All targets of the larger service are replaced, a few at a time."""
    desk = [target for target in active_targets(world) if target.service == "desk"]
    for number, target in enumerate(desk):
        world.clock.after(
            number // 3 * 0.8, lambda one=target: release_target(world, one)
        )


def scale_out(world: World, fault: Fault) -> None:
    """A third more targets of the larger service start in each zone."""
    for zone in ZONES:
        for _ in range(world.sizes.desk_per_zone // 3):
            world.add_target("desk", zone)


def release_target(world: World, target: EmulatedTarget) -> None:
    """Replace a target that is still there."""
    if target.alive and target.leaving_at is None:
        world.replace_target(target)


FaultAction = Callable[["World", Fault], None]

#: What may befall every run.
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

#: The same, and what befalls the hosts that read for their zones. Apart, so that the
#: seeds of the runs above go on meaning what they did.
READER_KINDS: dict[str, FaultAction] = {
    **KINDS,
    "cut-reader": cut_reader,
    "freeze-reader": freeze_reader,
    "kill-reader": kill_reader,
    "revoke-reader": revoke_reader,
}

#: The same, and configurations that grow to 700 KB and more. For runs in which answers
#: of the store take the time that a link needs for them.
LARGE_KINDS: dict[str, FaultAction] = {
    **READER_KINDS,
    "grow-configuration": grow_configuration,
    "storm-configuration": storm_configuration,
}

#: The same as for readers, and zones that are drained or return with cold targets. For
#: runs in which targets that start are cold.
ZONE_KINDS: dict[str, FaultAction] = {
    **READER_KINDS,
    "drain-again": drain_again,
    "drain-unheard": drain_unheard,
    "drain-zone": drain_zone,
    "release-service": release_service,
    "return-cold": return_cold,
}
