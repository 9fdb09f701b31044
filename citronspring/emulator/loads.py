"""Loads on hosts and targets: bursts of callers, alone or with a fault."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from citronspring.emulator.faults import (
    Fault,
    FaultAction,
    release_service,
    return_cold,
    scale_out,
)
from citronspring.emulator.world import TRAFFIC_START

if TYPE_CHECKING:
    from citronspring.emulator.world import World

#: Schedules the events of a load in a run.
Load = Callable[["World"], None]

#: Seconds of traffic before a burst, and the length of a burst in seconds.
BURST_AT = 5.0
BURST_SECONDS = 6.0


def burst(factor: float) -> Load:
    """Return a load of ``factor`` times the usual callers for six seconds."""

    def plan(world: World) -> None:
        start = TRAFFIC_START + BURST_AT
        world.clock.at(start, lambda: set_load_factor(world, factor))
        world.clock.at(start + BURST_SECONDS, lambda: set_load_factor(world, 1.0))

    return plan


def set_load_factor(world: World, factor: float) -> None:
    """Set the rate of new callers to ``factor`` times the usual one."""
    world.load_factor = factor


def cut_in_burst(factor: float) -> Load:
    """Return a burst during which a zone is partitioned for three seconds."""

    def plan(world: World) -> None:
        burst(factor)(world)
        start = TRAFFIC_START + BURST_AT + 1.0
        world.clock.at(start, lambda: world.network.partition("south"))
        world.clock.at(start + 3.0, lambda: world.network.heal("south"))

    return plan


def crash_in_burst(factor: float) -> Load:
    """Return a burst during which two targets crash and are not replaced."""

    def plan(world: World) -> None:
        burst(factor)(world)
        start = TRAFFIC_START + BURST_AT + 1.0
        world.clock.at(start, lambda: crash_two(world))

    return plan


def slow_in_burst(factor: float) -> Load:
    """Return a burst during which a third of the targets is ten times slower."""

    def plan(world: World) -> None:
        burst(factor)(world)
        start = TRAFFIC_START + BURST_AT
        world.clock.at(start, lambda: slow_third(world, 10.0))
        world.clock.at(start + BURST_SECONDS, lambda: slow_third(world, 1.0))

    return plan


def slow_third(world: World, slowness: float) -> None:
    """Set the slowness of about a third of the larger service's targets."""
    for target in list(world.targets.values())[::3]:
        if target.service == "desk":
            target.slowness = slowness


def crash_targets(share: float) -> Load:
    """Return a load in which a share of the larger service's targets crash for good.

    They send nothing, and their entries stay until heartbeats are missed.
    """

    def end(world: World) -> None:
        desk = [one for one in world.targets.values() if one.service == "desk"]
        for target in world.clock.rng.sample(desk, int(share * len(desk))):
            target.crash()
            world.clock.after(3.6, lambda one=target: world.store.remove_target(one))

    def plan(world: World) -> None:
        world.clock.at(TRAFFIC_START + BURST_AT, lambda: end(world))

    return plan


def lose_datagrams(share: float) -> Load:
    """Return a load in which all links lose a share of the datagrams."""

    def lose(world: World) -> None:
        world.network.loss = share

    def plan(world: World) -> None:
        world.clock.at(TRAFFIC_START + BURST_AT, lambda: lose(world))

    return plan


def crash_two(world: World) -> None:
    """Crash two targets of the larger service; their entries are removed later."""
    desk = [one for one in world.targets.values() if one.service == "desk"]
    for target in world.clock.rng.sample(desk, 2):
        target.crash()
        world.clock.after(3.6, lambda one=target: world.store.remove_target(one))


def drain_in_burst(factor: float) -> Load:
    """Return a burst during which a zone is drained; it returns in warm-up."""

    def plan(world: World) -> None:
        burst(factor)(world)
        start = TRAFFIC_START + BURST_AT + 0.5
        world.clock.at(start, lambda: world.drain_zone("south"))
        world.clock.at(start + 3.0, lambda: world.end_drain("south"))

    return plan


def fault_in_burst(factor: float, inject: FaultAction, seconds: float) -> Load:
    """Return a burst during which a fault is injected."""
    fault = Fault(TRAFFIC_START + BURST_AT + 0.5, inject.__name__, seconds)

    def plan(world: World) -> None:
        burst(factor)(world)
        world.clock.at(fault.at, lambda: inject(world, fault))

    return plan


def return_cold_in_burst(factor: float) -> Load:
    """Return a burst during which a zone's targets crash; others start together."""
    return fault_in_burst(factor, return_cold, 2.5)


def release_in_burst(factor: float) -> Load:
    """Return a burst during which all targets of a service are replaced."""
    return fault_in_burst(factor, release_service, 0.0)


def scale_out_in_burst(factor: float) -> Load:
    """Return a burst during which a third more targets start."""
    return fault_in_burst(factor, scale_out, 0.0)


def change_configuration(
    idle_routes: int, gap: float, changes: int, at: float = BURST_AT
) -> Load:
    """Return a load in which the configuration grows and changes repeatedly.

    Parameters
    ----------
    idle_routes : int
        Routes without traffic that the first change adds.
    gap : float
        Seconds between two changes.
    changes : int
        Number of changes; each after the first adds or removes one or two routes.
    at : float
        Seconds of traffic before the first change.
    """

    def grow(world: World) -> None:
        world.idle_routes += idle_routes
        world.change_configuration()

    def plan(world: World) -> None:
        start = TRAFFIC_START + at
        world.clock.at(start, lambda: grow(world))
        for number in range(1, changes):
            world.clock.at(start + number * gap, world.change_configuration)

    return plan
