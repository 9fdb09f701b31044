"""Restores of the store from a backup, and the rewriting of lost entries."""

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

#: Seconds between two heartbeats of a target, and the longest time in seconds until
#: operators rewrite entries that were lost.
HEARTBEAT_SECONDS = 1.2
OPERATOR_REWRITE_SECONDS = 1.5

#: Missed heartbeats after which an entry expires.
MISSED_HEARTBEATS = 3

#: Minimum and maximum length in seconds of the outage before a restore.
OUTAGE_SECONDS = (0.1, 2.0)


@dataclass(frozen=True, slots=True)
class StoreBackup:
    """A backup of the store at one moment."""

    revision: int
    entries: dict[str, Entry]
    changes: list[tuple[int, Change]]
    compacted_revision: int
    leases: dict[int, Lease]
    last_lease: int


def take_backup(store: EmulatedStore) -> StoreBackup:
    """Return a backup of the whole store."""
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
    """Return an independent copy of a lease."""
    return replace(lease, zones=set(lease.zones))


def apply_backup(store: EmulatedStore, backup: StoreBackup) -> None:
    """Restore the store from a backup; later revisions are reused in a new epoch."""
    epoch = store.epoch + 1

    def renumbered(revision: int) -> int:
        return ordered_revision(epoch, count_of(revision))

    def of_epoch(entry: Change) -> Change:
        if isinstance(entry, Configuration):
            return entry
        return with_revision(entry, renumbered(entry.revision))

    store.revision = renumbered(backup.revision)
    store.entries = {key: of_epoch(entry) for key, entry in backup.entries.items()}
    store.changes = [(renumbered(at), of_epoch(one)) for at, one in backup.changes]
    store.compacted_revision = renumbered(backup.compacted_revision)
    store.last_lease = backup.last_lease
    store.leases = {}
    for number, lease in backup.leases.items():
        store.leases[number] = copy_lease(lease)
        store.leases[number].deadline = store.clock.now + lease.ttl
        store.watch_lease(number)
    store.watches.clear()
    store.disturbed_at = store.clock.now


def restore_world(world: World, backup: StoreBackup) -> None:
    """Restore the store, and schedule the rewriting of lost entries.

    The entries of targets that have ended expire after missed heartbeats.
    """
    apply_backup(world.store, backup)
    rng = world.clock.rng
    world.clock.after(
        rng.uniform(0.0, OPERATOR_REWRITE_SECONDS),
        lambda: rewrite_operator_entries(world),
    )
    for target in world.targets.values():
        delay = rng.uniform(0.0, HEARTBEAT_SECONDS)
        if not target.alive:
            delay = HEARTBEAT_SECONDS * MISSED_HEARTBEATS
        world.clock.after(delay, lambda one=target: rewrite_target(world, one))


def rewrite_operator_entries(world: World) -> None:
    """Rewrite the operators' configuration, and correct the drains of zones."""
    store, drained = world.store, world.checker.zone_checker.drained_at
    store.disturbed_at = world.clock.now
    _, newest = world.checker.accepted[-1]
    store.put_configuration(newest)
    for zone in world.checker.zones:
        stored = drain_key(zone) in store.entries
        if zone in drained and not stored:
            store.put_drain(zone)
        elif zone not in drained and stored:
            store.end_drain(zone)


def rewrite_target(world: World, target: EmulatedTarget) -> None:
    """Rewrite the entry of a running target, or remove that of an ended one."""
    if not target.alive:
        world.store.remove_target(target)
        return
    entry, stored = target.entry(), world.store.entries.get(target.target_id)
    if isinstance(stored, Target) and is_unchanged(stored, entry):
        return
    world.store.disturbed_at = world.clock.now
    world.store.put_target(entry)


def is_unchanged(stored: Target, entry: Target) -> bool:
    """Return whether rewriting an entry would not change the stored one."""
    return stored.leaving == entry.leaving and not entry.warmup


def restore_after_outage(world: World, backup: StoreBackup) -> None:
    """Begin an outage of the store that ends with a restore from a backup."""
    rng = world.clock.rng
    outage_seconds = rng.uniform(*OUTAGE_SECONDS)
    world.store.begin_outage(rng.choice(list(Outage)), frozenset())

    def end() -> None:
        world.store.end_outage()
        restore_world(world, backup)

    world.clock.after(outage_seconds, end)
