"""Runs in which a route's services change: open flows stay on their targets."""

from __future__ import annotations

import pytest

from citronspring.emulator.world import STREAMS, TRAFFIC_START, Sizes, World

#: Seconds after a change of services at which all hosts are killed.
KILL_DELAY = 4.5


def restart_all_hosts(world):
    for host in world.hosts:
        host.kill()
        host.start()


def run_changes(changes, seed=3):
    """Run a world whose streams get other services, all hosts killed after each."""
    world = World.from_seed(
        seed, Sizes(seconds=6.0 * len(changes) + 6.0, stream_requests=60)
    )
    for number, services in enumerate(changes):
        at = TRAFFIC_START + 1.0 + 6.0 * number
        world.clock.at(
            at, lambda named=services: world.change_services(STREAMS, *named)
        )
        world.clock.at(at + KILL_DELAY, lambda: restart_all_hosts(world))
    world.run()
    return world


@pytest.mark.parametrize(
    "changes",
    [
        [("archive",)],
        [("desk", "archive"), ("archive",)],
        [("archive",), ("desk", "archive"), ("desk",)],
    ],
)
def test_flows_stay_when_all_hosts_restart_after_a_change(changes):
    """A host that starts after a change drops packets of flows placed before it.

    It knows the new services of the route only, and takes the token of a flow for one
    of a foreign service.
    """
    violations = run_changes(changes).checker.violations
    assert violations == []
