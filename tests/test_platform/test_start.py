"""The cost of starting a host, which delays serving after a crash."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
from pathlib import Path
from shutil import copytree, ignore_patterns

import pytest

ROOT = Path(__file__).resolve().parents[2]

#: Modules that cost more than the rest of the start together.
HEAVY_MODULES = (
    "anyio",
    "asyncio",
    "collections",
    "contextlib",
    "dataclasses",
    "enum",
    "functools",
    "httptools",
    "httpx",
    "inspect",
    "json",
    "pydantic",
    "re",
    "selectors",
    "signal",
    "socket",
    "structlog",
    "thrift",
    "tomllib",
    "typing",
    "urllib.parse",
)

#: Limit on modules imported at start: 43 of the interpreter's own and 47 of ours.
MAX_MODULES = 90

#: Imports of a start.
IMPORT_HOST = "import citronspring.platform.__main__, citronspring.daemons.token_host"

#: Limit on the processor time of the imports, relative to an interpreter that imports
#: asyncio: that takes some 77 ms, and a start may take 30 ms.
MAX_SHARE_OF_ASYNCIO = 0.5


def run(code, cache):
    """Run code in an interpreter as a host is started; return its output."""
    command = [sys.executable, "-S", "-c", f"import sys; sys.path={sys.path!r}; {code}"]
    environment = {**os.environ, "PYTHONPYCACHEPREFIX": str(cache)}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    done = subprocess.run(
        command, check=True, capture_output=True, text=True, env=environment
    )
    return done.stdout


def cpu_seconds(code, cache):
    """Return the processor time of a run in seconds."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    run(code, cache)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def least_cpu_seconds(codes, cache):
    """Return the shortest processor time of several runs of each code, in seconds.

    The codes run alternately, so that other load on the machine slows all of them. They
    are compiled once before, as the build does on the platform.
    """
    for code in codes:
        run(code, cache)
    rounds = [[cpu_seconds(code, cache) for code in codes] for _ in range(8)]
    return [min(times) for times in zip(*rounds, strict=True)]


def test_imports_no_heavy_module(tmp_path):
    """After a power failure of all hosts, each serves only after its imports.

    On a quarter of a core, 25 ms more of imports delay every caller by 100 ms. The
    modules listed here would double the time of a start.
    """
    output = run(f"{IMPORT_HOST}; print(*sys.modules)", tmp_path)
    modules = set(output.split())
    assert modules.isdisjoint(HEAVY_MODULES), modules & set(HEAVY_MODULES)
    assert len(modules) <= MAX_MODULES


def test_start_costs_at_most_half_of_importing_asyncio(tmp_path):
    """After a power failure of all hosts, callers wait another 0.45 s.

    A host with 0.163 of a core uses 73 ms of processor time until the first line of its
    log; one with 0.717 starts 0.4 s sooner. Routers send packets meanwhile because no
    other host is up. A start may take half of the time that an interpreter needs to
    import asyncio, measured in the same run.
    """
    host, loop = least_cpu_seconds((IMPORT_HOST, "import asyncio"), tmp_path)
    assert host <= MAX_SHARE_OF_ASYNCIO * loop


def test_launcher_behaves_like_the_module(tmp_path):
    settings = tmp_path / "settings"
    settings.write_text("{}")
    done = subprocess.run(
        [sys.executable, "-S", "deploy/host.py"],
        env={**os.environ, "CITRONSPRING_BOOT": str(settings)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert "give a table" in done.stderr


class Build:
    """A copy of the files that a host starts from, built as on the platform."""

    def __init__(self, root):
        self.root = root
        for name in ("citronspring", "deploy"):
            copytree(ROOT / name, root / name, ignore=ignore_patterns("__pycache__"))
        self.run("deploy/bundle.py")

    def run(self, *words):
        command = [sys.executable, "-S", *words]
        environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
        environment.pop("CITRONSPRING_BOOT", None)
        return subprocess.run(
            command,
            cwd=self.root,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )

    def loaders(self):
        """Return the imported modules of the package that come from the bundle."""
        code = (
            "import sys; sys.path[0] = ''; "
            "from citronspring.bundles import install_bundle; "
            "print(install_bundle('.')); "
            "import citronspring.platform.__main__; "
            "import citronspring.daemons.token_host; "
            "print(*sorted(n for n, m in sys.modules.items() "
            "if type(getattr(m.__spec__, 'loader', 0)).__name__ == 'BundleFinder'))"
        )
        installed, names = self.run("-c", code).stdout.splitlines()
        return installed == "True", names.split()


@pytest.fixture
def build(tmp_path):
    return Build(tmp_path)


def test_build_puts_modules_into_one_file(build):
    """A host with a sixth of a core spends a third of its start on finding modules."""
    installed, names = build.loaders()
    assert installed
    assert "citronspring.daemons.token_host" in names
    assert len(names) > 40


def test_source_changed_after_the_build_is_used(build):
    """A module is fixed and the host restarted without a build.

    The bundle still contains the faulty module and must not be used for it.
    """
    source = build.root / "citronspring/tcp_flags.py"
    source.write_text(source.read_text() + "\nMENDED = True\n")
    code = (
        "import sys; sys.path[0] = ''; "
        "from citronspring.bundles import install_bundle; install_bundle('.'); "
        "from citronspring.tcp_flags import MENDED; print(MENDED)"
    )
    assert build.run("-c", code).stdout == "True\n"


@pytest.mark.parametrize("body", [b"", b"damaged", b"\xe9\x05\x00\x00\x00"])
def test_damaged_bundle_is_not_used(build, body):
    (build.root / "target/host.bundle").write_bytes(body)
    installed, names = build.loaders()
    assert not installed
    assert names == []


def test_host_starts_without_a_build(build):
    (build.root / "target/host.bundle").unlink()
    done = build.run("deploy/host.py")
    assert done.returncode == 2
    assert "CITRONSPRING_BOOT is not set" in done.stderr
