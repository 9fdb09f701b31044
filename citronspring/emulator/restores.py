"""The store comes back from an older copy; who had written to it writes again."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from citronspring.emulator.store import Outage, drain_key
from citronspring.tokens.entries import (
    Configuration,
    Target,
    count_of,
    ordered_revision,
    with_revision,
)

if TYPE_CHECKING:
    from citronspring.emulator.store import Change, EmulatedStore, Entry, Lease
    from citronspring.emulator.targets import EmulatedTarget
    from citronspring.emulator.world import World

#: Seconds between two entries that a target writes, and within which operators see
#: that one of theirs is missing.
HEARTBEAT_SECONDS = 1.2
OPERATOR_REWRITE_SECONDS = 1.5

#: Heartbeats without which an entry lapses.
MISSED_HEARTBEATS = 3

#: Seconds for which the store is away before it comes back, at least and at most.
OUTAGE_SECONDS = (0.1, 2.0)


@dataclass(frozen=True, slots=True)
class StoreBackup:
    """What the store held at one moment."""

    revision: int
    entries: dict[str, Entry]
    changes: list[tuple[int, Change]]
    compacted_revision: int
    leases: dict[int, Lease]
    last_lease: int


def take_backup(store: EmulatedStore) -> StoreBackup:
    """Return a copy of everything in the store."""
    leases = {number: copy_lease(lease) for number, lease in store.leases.items()}
    return StoreBackup(
        store.revision,
        dict(store.entries),
        list(store.changes),
        store.compacted_revision,
        leases,
        store.last_lease,
    )


def copy_lease(lease: Lease) -> Lease:
    """Return a lease that goes on by itself."""
    return replace(lease, zones=set(lease.zones))


def apply_backup(store: EmulatedStore, copy: StoreBackup) -> None:
    """Have the store come back from a copy; it gives later revisions out again."""
    epoch = store.epoch + 1

    def renumbered(revision: int) -> int:
        return ordered_revision(epoch, count_of(revision))

    def of_epoch(entry: Change) -> Change:
        if isinstance(entry, Configuration):
            return entry
        return with_revision(entry, renumbered(entry.revision))

    store.revision = renumbered(copy.revision)
    store.entries = {key: of_epoch(entry) for key, entry in copy.entries.items()}
    store.changes = [(renumbered(at), of_epoch(one)) for at, one in copy.changes]
    store.compacted_revision = renumbered(copy.compacted_revision)
    store.last_lease = copy.last_lease
    store.leases = {}
    for number, lease in copy.leases.items():
        store.leases[number] = copy_lease(lease)
        store.leases[number].deadline = store.clock.now + lease.ttl
        store.watch_lease(number)
    store.watches.clear()
    store.disturbed_at = store.clock.now


def restore_world(world: World, copy: StoreBackup) -> None:
    """Have the store come back, and everybody write again what it has lost."""
    apply_backup(world.store, copy)
    rng = world.clock.rng
    world.clock.after(
        rng.uniform(0.0, OPERATOR_REWRITE_SECONDS),
        lambda: rewrite_operator_entries(world),
    )
    for target in world.targets.values():
        pause = rng.uniform(0.0, HEARTBEAT_SECONDS)
        if not target.alive:
            pause = HEARTBEAT_SECONDS * MISSED_HEARTBEATS
        world.clock.after(pause, lambda one=target: rewrite_target(world, one))


def rewrite_operator_entries(world: World) -> None:
    """Have operators write again what the store does not hold of theirs."""
    store, drained = world.store, world.checker.zone_checker.drained_at
    store.disturbed_at = world.clock.now
    _, newest = world.checker.accepted[-1]
    store.put_configuration(newest)
    for zone in world.checker.zones:
        held = drain_key(zone) in store.entries
        if zone in drained and not held:
            store.put_drain(zone)
        elif zone not in drained and held:
            store.end_drain(zone)


def rewrite_target(world: World, target: EmulatedTarget) -> None:
    """Have a target write its entry again, or that of a dead one lapse."""
    if not target.alive:
        world.store.remove_target(target)
        return
    entry, held = target.entry(), world.store.entries.get(target.target_id)
    if isinstance(held, Target) and is_unchanged(held, entry):
        return
    world.store.disturbed_at = world.clock.now
    world.store.put_target(entry)


def is_unchanged(held: Target, entry: Target) -> bool:
    """Whether an entry that is written again is no change of the one that is held."""
    return held.leaving == entry.leaving and not entry.warmup


def restore_after_outage(world: World, copy: StoreBackup) -> None:
    """Have the store be away for a moment and come back from a copy."""
    rng = world.clock.rng
    moment = rng.uniform(*OUTAGE_SECONDS)
    world.store.begin_outage(rng.choice(list(Outage)), frozenset())

    def end() -> None:
        world.store.end_outage()
        restore_world(world, copy)

    world.clock.after(moment, end)
