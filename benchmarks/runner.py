"""Finds the benchmark modules and runs them, as far as possible side by side."""

from __future__ import annotations

import importlib
import pkgutil
from concurrent.futures import ProcessPoolExecutor

import benchmarks
from benchmarks.pool import CONTEXT, MAX_WORKERS
from benchmarks.result import Result

#: Modules whose figures are times: nothing else of ours runs beside them.
TIMED = ("tokens", "decision", "throughput")

#: Modules that start their own processes.
POOLED = ("balance", "churn")


def find_modules() -> list[str]:
    """Return the names of the modules that have a ``run``."""
    names = [module.name for module in pkgutil.iter_modules(benchmarks.__path__)]
    return [name for name in names if name != "__main__" and is_benchmark(name)]


def is_benchmark(name: str) -> bool:
    """Whether a module measures something."""
    return hasattr(importlib.import_module(f"benchmarks.{name}"), "run")


def run_module(name: str) -> list[dict[str, object]]:
    """Run one module; return its rows as plain values."""
    module = importlib.import_module(f"benchmarks.{name}")
    rows = module.run()
    return [row.to_dict() if isinstance(row, Result) else row for row in rows]


def run_modules(names: list[str]) -> list[dict[str, object]]:
    """Run modules, those that read a clock first and alone, the others together."""
    answers = {name: run_module(name) for name in names if name in TIMED}
    single = [name for name in names if name not in (*TIMED, *POOLED)]
    with ProcessPoolExecutor(MAX_WORKERS, CONTEXT) as pool:
        futures = {name: pool.submit(run_module, name) for name in single}
        answers |= {name: run_module(name) for name in names if name in POOLED}
        answers |= {name: future.result() for name, future in futures.items()}
    return [row for name in names for row in answers[name]]
