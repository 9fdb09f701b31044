"""Faults in which the store is restored from a backup."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.emulator.faults import (
    ZONE_KINDS,
    pick_reader,
    reconnect_host,
    replace_targets,
)
from citronspring.emulator.restores import (
    OUTAGE_SECONDS,
    restore_after_outage,
    take_backup,
)
from citronspring.emulator.world import ZONES

if TYPE_CHECKING:
    from citronspring.emulator.faults import Fault, FaultAction
    from citronspring.emulator.world import World


def restore_store(world: World, fault: Fault) -> None:
    """Restore the store from a backup that lacks the changes of some seconds."""
    backup = take_backup(world.store)
    world.clock.after(0.2 * fault.seconds, world.change_configuration)
    world.clock.after(0.4 * fault.seconds, lambda: replace_targets(world, fault))
    world.clock.after(0.6 * fault.seconds, world.change_configuration)
    world.clock.after(fault.seconds, lambda: restore_after_outage(world, backup))


def restore_unheard(world: World, fault: Fault) -> None:
    """Restore the store while a zone reader is partitioned from it."""
    host = pick_reader(world)
    world.store.partition(host.host_id)
    host.disturbed_at = world.clock.now
    restore_store(world, fault)
    delay = 2.0 * fault.seconds + OUTAGE_SECONDS[1]
    world.clock.after(delay, lambda: reconnect_host(world, host))


def restore_drain(world: World, fault: Fault) -> None:
    """Restore the store so that it loses a zone's drain, then the end of the drain."""
    zone = world.clock.rng.choice(ZONES)
    backup = take_backup(world.store)
    world.drain_zone(zone)
    world.clock.after(0.5, lambda: restore_after_outage(world, backup))
    world.clock.after(4.0, lambda: lose_end_of_drain(world, zone))


def lose_end_of_drain(world: World, zone: str) -> None:
    """End a zone's drain, then restore the store from a backup made before that."""
    backup = take_backup(world.store)
    world.end_drain(zone)
    world.clock.after(0.5, lambda: restore_after_outage(world, backup))


#: `ZONE_KINDS` and restores of the store from a backup.
RESTORE_KINDS: dict[str, FaultAction] = {
    **ZONE_KINDS,
    "restore-drain": restore_drain,
    "restore-store": restore_store,
    "restore-unheard": restore_unheard,
}
