"""The store comes back from an older copy; who had written to it writes again."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from citronspring.emulator.store import Trouble, drain_key
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
HEARTBEAT = 1.2
OPERATORS_NOTICE = 1.5

#: Heartbeats without which an entry lapses.
SILENT_HEARTBEATS = 3

#: Seconds for which the store is away before it comes back, at least and at most.
MOMENT = (0.1, 2.0)


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held at one moment."""

    revision: int
    entries: dict[str, Entry]
    changes: list[tuple[int, Change]]
    forgotten: int
    leases: dict[int, Lease]
    last_lease: int


def copy_of(store: EmulatedStore) -> StoreCopy:
    """Return a copy of everything in the store."""
    leases = {number: copy_lease(lease) for number, lease in store.leases.items()}
    return StoreCopy(
        store.revision,
        dict(store.entries),
        list(store.changes),
        store.forgotten,
        leases,
        store.last_lease,
    )


def copy_lease(lease: Lease) -> Lease:
    """Return a lease that goes on by itself."""
    return replace(lease, zones=set(lease.zones))


def restore(store: EmulatedStore, copy: StoreCopy) -> None:
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
    store.forgotten = renumbered(copy.forgotten)
    store.last_lease = copy.last_lease
    store.leases = {}
    for number, lease in copy.leases.items():
        store.leases[number] = copy_lease(lease)
        store.leases[number].deadline = store.clock.now + lease.ttl
        store.watch_lease(number)
    store.waiting.clear()
    store.disturbed_at = store.clock.now


def restore_world(world: World, copy: StoreCopy) -> None:
    """Have the store come back, and everybody write again what it has lost."""
    restore(world.store, copy)
    rng = world.clock.rng
    world.clock.after(rng.uniform(0.0, OPERATORS_NOTICE), lambda: write_orders(world))
    for target in world.targets.values():
        pause = rng.uniform(0.0, HEARTBEAT)
        if not target.alive:
            pause = HEARTBEAT * SILENT_HEARTBEATS
        world.clock.after(pause, lambda one=target: write_target(world, one))


def write_orders(world: World) -> None:
    """Have operators write again what the store does not hold of theirs."""
    store, drained = world.store, world.checker.zone_judge.drained_at
    store.disturbed_at = world.clock.now
    _, newest = world.checker.accepted[-1]
    store.put_configuration(newest)
    for zone in world.checker.zones:
        held = drain_key(zone) in store.entries
        if zone in drained and not held:
            store.put_drain(zone)
        elif zone not in drained and held:
            store.end_drain(zone)


def write_target(world: World, target: EmulatedTarget) -> None:
    """Have a target write its entry again, or that of a dead one lapse."""
    if not target.alive:
        world.store.remove_target(target)
        return
    entry, held = target.entry(), world.store.entries.get(target.target_id)
    if isinstance(held, Target) and says_the_same(held, entry):
        return
    world.store.disturbed_at = world.clock.now
    world.store.put_target(entry)


def says_the_same(held: Target, entry: Target) -> bool:
    """Whether an entry that is written again is no change of the one that is held."""
    return held.leaving == entry.leaving and not entry.warmup


def come_back(world: World, copy: StoreCopy) -> None:
    """Have the store be away for a moment and come back from a copy."""
    rng = world.clock.rng
    moment = rng.uniform(*MOMENT)
    world.store.begin_trouble(rng.choice(list(Trouble)), frozenset())

    def end() -> None:
        world.store.end_trouble()
        restore_world(world, copy)

    world.clock.after(moment, end)
