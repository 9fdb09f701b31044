"""Faults that the soak injects, in series and overlapping, and ends again."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from citronspring.emulator.world import ZONES
from soak.proxy import Mode
from soak.writers import write_strange_entries

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.emulator.targets import EmulatedTarget
    from soak.hosts import HostProcess
    from soak.run import Soak
    from soak.store import StoreBackup

FAULTS = (
    "kill",
    "stop",
    "pause",
    "crash",
    "release",
    "change",
    "proxy",
    "busy",
    "lossy",
)

#: `FAULTS` and drains of zones. A longer `FAULTS` would change which faults its seeds
#: choose, so this is a list of its own.
ZONE_FAULTS = (*FAULTS, "drain")

#: `ZONE_FAULTS` and, twice as likely as the others, restores of the store.
RESTORE_FAULTS = (*ZONE_FAULTS, "restore", "restore")

#: Faults of hosts and targets, and changes of a route's services.
SHARE_FAULTS = ("kill", "stop", "crash", "release", "shares", "shares")

#: `FAULTS` and, twice as likely as the others, entries of other writers.
WRITER_FAULTS = (*FAULTS, "entries", "entries")

#: Services of the streams, one of which is chosen at each change.
SERVICE_CHOICES = (("desk",), ("archive",), ("desk", "archive"))

#: Seconds after a change of services until all hosts are killed, and until they start.
SHARES_KILL_DELAY = 3.5
RESTART_DELAY = 0.5

#: Seconds for which the store refuses calls before it is restored, and within which
#: operators and targets then rewrite what it has lost.
RESTORE_OUTAGE_SECONDS = 0.4
MAX_REWRITE_DELAY = 1.2


#: Shortest duration of a drain, seconds.
DRAIN_SECONDS = 6.0


def inject_random_fault(soak: Soak, end: float) -> None:
    """Inject a random fault, and schedule the next one at a random time."""
    if soak.clock.now >= end:
        return
    rng = soak.clock.rng
    kind = rng.choice(soak.fault_kinds)
    host = rng.choice(soak.hosts)
    seconds = rng.uniform(0.3, 3.0)
    soak.faults.append(f"{kind}@{soak.clock.now:.1f} {host.name} {seconds:.1f}s")
    soak.mark_disturbed()
    apply_fault(soak, kind, host, seconds)
    soak.clock.after(rng.uniform(0.5, 4.0), lambda: inject_random_fault(soak, end))


def apply_fault(soak: Soak, kind: str, host: HostProcess, seconds: float) -> None:
    """Apply a fault of a kind, and end it after some seconds."""
    match kind:
        case "kill":
            host.kill()
            undo_later(soak, seconds, lambda: restart(soak, host))
        case "stop":
            host.stopping = True
            host.signal(signal.SIGTERM)
            undo_later(soak, 7.0, lambda: restart(soak, host))
        case "pause":
            host.pause()
            undo_later(soak, seconds, host.resume)
        case "crash":
            crash_target(soak, seconds)
        case "release":
            replace_target(soak)
        case "change":
            soak.change_configuration()
            host.signal(signal.SIGHUP)
        case "shares":
            change_services(soak)
        case "entries":
            write_strange_entries(soak)
        case "proxy":
            modes = (Mode.DELAY, Mode.SILENT, Mode.ONE_WAY, Mode.RESET)
            host.proxy.set_mode(soak.clock.rng.choice(modes))
            undo_later(soak, seconds, lambda: host.proxy.set_mode(Mode.RESET))
        case "busy":
            soak.store.outage_status = 503
            undo_later(soak, seconds, lambda: end_store_outage(soak))
        case "drain":
            drain_zone(soak, host.zone, seconds)
        case "restore":
            restore_store(soak, seconds)
        case "lossy":
            soak.loss = 0.05
            undo_later(soak, seconds, lambda: end_loss(soak))


def undo_later(soak: Soak, seconds: float, action: Callable[[], None]) -> None:
    """Call a function that ends a fault later; its end counts as a disturbance too."""

    def undo() -> None:
        soak.mark_disturbed()
        action()

    soak.clock.after(seconds, undo)


def change_services(soak: Soak) -> None:
    """Change the services of the streams, and later kill and restart all hosts."""
    others = [one for one in SERVICE_CHOICES if one != soak.services]
    soak.services = soak.clock.rng.choice(others)
    soak.shares_changed_at = soak.clock.now
    soak.change_configuration()
    undo_later(soak, SHARES_KILL_DELAY, lambda: restart_all(soak))


def restart_all(soak: Soak) -> None:
    """Kill all hosts at once, and start them again."""
    for host in soak.hosts:
        if not host.stopping:
            host.kill()
            undo_later(soak, RESTART_DELAY, lambda one=host: restart(soak, one))


def restore_store(soak: Soak, seconds: float) -> None:
    """Back up the store, write to it, and restore the backup after some seconds."""
    backup = soak.store.backup()
    soak.change_configuration()
    replace_target(soak)
    undo_later(soak, seconds, lambda: restore_from_backup(soak, backup))


def restore_from_backup(soak: Soak, backup: StoreBackup) -> None:
    """Make the store refuse calls for a moment, and then restore a backup."""
    soak.store.outage_status = 503

    def restore() -> None:
        end_store_outage(soak)
        soak.store.restore(backup)
        undo_later(
            soak,
            soak.clock.rng.uniform(0.0, MAX_REWRITE_DELAY),
            lambda: rewrite_lost_entries(soak),
        )

    undo_later(soak, RESTORE_OUTAGE_SECONDS, restore)


def rewrite_lost_entries(soak: Soak) -> None:
    """Rewrite what the store has lost, as operators and targets do."""
    soak.write_configuration()
    for zone in ZONES:
        key = f"op/evacuate/{zone}"
        if zone in soak.drained_at:
            soak.store.put(key, {})
        else:
            soak.store.delete(key)
    for target in soak.targets.values():
        if target.alive:
            soak.register(target)
        else:
            soak.store.delete(f"servers/{target.target_id}")


def drain_zone(soak: Soak, zone: str, seconds: float) -> None:
    """Drain a zone for some seconds, unless it is drained already."""
    if zone in soak.drained_at:
        return
    soak.drained_at[zone] = soak.clock.now
    soak.store.put(f"op/evacuate/{zone}", {})
    # Longer than the bound after which no new flows may be sent there.
    undo_later(soak, seconds + DRAIN_SECONDS, lambda: end_drain(soak, zone))


def end_drain(soak: Soak, zone: str) -> None:
    """End the drain of a zone."""
    del soak.drained_at[zone]
    soak.store.delete(f"op/evacuate/{zone}")


def end_store_outage(soak: Soak) -> None:
    """Let the store serve calls again."""
    soak.store.outage_status = None


def end_loss(soak: Soak) -> None:
    """End the loss of packets."""
    soak.loss = 0.0


def restart(soak: Soak, host: HostProcess) -> None:
    """Start a host that has ended; record a violation if it stopped with an error."""
    if host.alive:
        return
    if host.stopping and host.process is not None and host.process.returncode > 0:
        soak.record_violation(f"{host.name} exited with {host.process.returncode}")
    host.start()


def active_targets(soak: Soak) -> list[EmulatedTarget]:
    """Return the targets that run and are not leaving."""
    return [
        target
        for target in soak.targets.values()
        if target.alive and target.leaving_at is None
    ]


def crash_target(soak: Soak, seconds: float) -> None:
    """Crash a target; its entry is removed after three missed heartbeats."""
    candidates = active_targets(soak)
    if len(candidates) < 3:
        return
    target = soak.clock.rng.choice(candidates)
    target.crash()
    key = f"servers/{target.target_id}"
    undo_later(soak, 3.6, lambda: soak.store.delete(key))
    undo_later(soak, seconds, lambda: soak.add_target(target.service, target.zone))


def replace_target(soak: Soak) -> None:
    """Start another target in the place of one that leaves."""
    target = soak.clock.rng.choice(active_targets(soak))
    soak.add_target(target.service, target.zone)
    target.leaving_at = soak.clock.now
    soak.register(target)
    undo_later(soak, 6.0, lambda: end_target(soak, target))


def end_target(soak: Soak, target: EmulatedTarget) -> None:
    """Stop a target that has left."""
    target.crash()
    soak.store.delete(f"servers/{target.target_id}")
