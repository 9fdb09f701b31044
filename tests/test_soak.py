"""A short seeded run of the soak: real processes, sockets and signals."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from itertools import repeat

from soak.faults import FAULTS, RESTORE_FAULTS, SHARE_FAULTS, WRITER_FAULTS
from soak.run import run_seed

#: Seeds that once violated a guarantee, all in the same way: after a pause of a host,
#: packets of a flow reached another target. The end of the pause interrupted the wait
#: for socket events, which then reported none. The host took this to mean that all
#: packets had been read, and placed queued openings a second time. The run's own event
#: loop had also stalled while it requested the state of the paused host.
KEPT_SEEDS = (1, 3, 6, 7, 8, 12, 17, 18, 19, 28)

#: Seeds run in parallel, four processes each.
JOBS = 3

SECONDS = 16.0


#: Seeds in which the store is restored from backups.
RESTORE_SEEDS = (0, 1, 4, 8)


#: Seeds in which the services of a route change and all hosts are killed.
SHARE_SEEDS = (0, 1, 2)


#: Seeds in which another program writes entries.
WRITER_SEEDS = (0, 1, 2)


def verdict(seed, kinds=FAULTS):
    """Run a seed; return its violations, its faults and its number of requests."""
    soak = run_seed(seed, SECONDS, kinds)
    return soak.violations, soak.faults, len(soak.checker.requests)


def test_guarantees_hold_for_real_processes():
    with ProcessPoolExecutor(JOBS) as pool:
        for violations, faults, requests in pool.map(verdict, (0, *KEPT_SEEDS)):
            assert violations == [], faults
            assert faults
            assert requests > 100


def test_guarantees_hold_after_restores_of_the_store():
    with ProcessPoolExecutor(JOBS) as pool:
        runs = pool.map(verdict, RESTORE_SEEDS, repeat(RESTORE_FAULTS))
        for violations, faults, requests in runs:
            assert violations == [], faults
            assert requests > 100


def test_flows_stay_when_services_change():
    """Hosts that start after a change of services drop flows placed before it."""
    with ProcessPoolExecutor(JOBS) as pool:
        runs = pool.map(verdict, SHARE_SEEDS, repeat(SHARE_FAULTS))
        for violations, faults, requests in runs:
            assert violations == [], faults
            assert requests > 100


def test_entries_of_other_writers_end_no_process():
    """One entry of another program ends every host, again at each start."""
    with ProcessPoolExecutor(JOBS) as pool:
        runs = pool.map(verdict, WRITER_SEEDS, repeat(WRITER_FAULTS))
        for violations, faults, requests in runs:
            assert violations == [], faults
            assert requests > 100
