"""Run seeds of the soak test in parallel: ``python -m soak --first=0 --seeds=50``."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat

from absl import app, flags

from soak.faults import FAULTS, RESTORE_FAULTS, WRITER_FAULTS, ZONE_FAULTS
from soak.run import run_seed

FIRST = flags.DEFINE_integer("first", 0, "First seed.")
SEEDS = flags.DEFINE_integer("seeds", 50, "Number of seeds.", lower_bound=1)
JOBS = flags.DEFINE_integer("jobs", 3, "Seeds run in parallel, four processes each.")
SECONDS = flags.DEFINE_float("seconds", 24.0, "Seconds of traffic per seed.")


ZONES = flags.DEFINE_bool("zones", False, "Also drain availability zones.")
RESTORES = flags.DEFINE_bool(
    "restores", False, "Also drain zones and restore the store from backups."
)
WRITERS = flags.DEFINE_bool(
    "writers", False, "Also write entries of other writers to the store."
)


def verdict(
    seed: int, seconds: float, fault_kinds: tuple[str, ...]
) -> tuple[int, list[str], str]:
    """Run a seed; return it with its violations and a summary line."""
    soak = run_seed(seed, seconds, fault_kinds)
    requests = soak.checker.requests
    served = sum(request.answered_at is not None for request in requests)
    line = f"seed {seed}: {served} of {len(requests)} served; {', '.join(soak.faults)}"
    return seed, soak.violations, line


def main(argv: list[str]) -> int:
    """Run the requested seeds; return 1 if a guarantee was violated."""
    del argv
    seeds = range(FIRST.value, FIRST.value + SEEDS.value)
    failed = []
    with ProcessPoolExecutor(JOBS.value) as pool:
        fault_kinds = ZONE_FAULTS if ZONES.value else FAULTS
        if RESTORES.value:
            fault_kinds = RESTORE_FAULTS
        if WRITERS.value:
            fault_kinds = WRITER_FAULTS
        runs = pool.map(verdict, seeds, repeat(SECONDS.value), repeat(fault_kinds))
        for seed, violations, line in runs:
            print(line, flush=True)
            for text in violations:
                print(f"  broken: {text}", flush=True)
            if violations:
                failed.append(seed)
    print(f"{len(seeds)} seeds, {len(failed)} with a broken promise: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
