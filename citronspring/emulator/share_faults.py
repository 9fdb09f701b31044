"""Faults in which routes change their services while hosts are killed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.emulator.faults import kill_all_hosts
from citronspring.emulator.restore_faults import RESTORE_KINDS
from citronspring.emulator.world import STREAMS

if TYPE_CHECKING:
    from citronspring.emulator.faults import Fault, FaultAction
    from citronspring.emulator.world import World

#: Services of the streams, one of which is chosen at each change.
SERVICE_CHOICES = (("desk",), ("archive",), ("desk", "archive"))

#: Seconds after a change of services until all hosts are killed; the change and its
#: record have bounds, which are shorter.
KILL_DELAY = 4.5


def change_services(world: World, fault: Fault) -> None:
    """Change the services of the streams, and later kill all hosts."""
    known = world.services[STREAMS]
    others = [one for one in SERVICE_CHOICES if one != known]
    world.change_services(STREAMS, *world.clock.rng.choice(others))
    world.clock.after(KILL_DELAY, lambda: kill_all_hosts(world, fault))


#: `RESTORE_KINDS` and changes of a route's services.
SHARE_KINDS: dict[str, FaultAction] = {
    **RESTORE_KINDS,
    "change-services": change_services,
}
