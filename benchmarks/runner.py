"""Discovers the benchmark modules and runs them, in parallel where possible."""

from __future__ import annotations

import importlib
import pkgutil
from concurrent.futures import ProcessPoolExecutor

import benchmarks
from benchmarks.pool import CONTEXT, MAX_WORKERS
from benchmarks.result import Result

#: Modules that measure real time. No other benchmark runs in parallel with them, as
#: it would distort their figures.
TIMED = ("tokens", "decision", "throughput")

#: Modules that start a process pool of their own.
POOLED = ("balance", "churn")


def find_modules() -> list[str]:
    """Return the names of the modules that define ``run``."""
    names = [module.name for module in pkgutil.iter_modules(benchmarks.__path__)]
    return [name for name in names if name != "__main__" and is_benchmark(name)]


def is_benchmark(name: str) -> bool:
    """Return whether a module of this package is a benchmark."""
    return hasattr(importlib.import_module(f"benchmarks.{name}"), "run")


def run_module(name: str) -> list[dict[str, object]]:
    """Run one module; return its result rows as dictionaries."""
    module = importlib.import_module(f"benchmarks.{name}")
    rows = module.run()
    return [row.to_dict() if isinstance(row, Result) else row for row in rows]


def run_modules(names: list[str]) -> list[dict[str, object]]:
    """Run modules: first each timed one alone, then the others in parallel."""
    answers = {name: run_module(name) for name in names if name in TIMED}
    single = [name for name in names if name not in (*TIMED, *POOLED)]
    with ProcessPoolExecutor(MAX_WORKERS, CONTEXT) as pool:
        futures = {name: pool.submit(run_module, name) for name in single}
        answers |= {name: run_module(name) for name in names if name in POOLED}
        answers |= {name: future.result() for name, future in futures.items()}
    return [row for name in names for row in answers[name]]
