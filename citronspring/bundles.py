"""A single file with the compiled modules that a starting host imports.

A restarted host serves only after its imports. Finding and reading fifty modules one by
one takes five hundred system calls, and each data class compiles its ``__init__`` when
its first instance is created. The build of the host does both in advance.
"""

from __future__ import annotations

import sys
from _frozen_importlib import ModuleSpec
from marshal import dumps, loads

from citronspring.light_stdlib import TYPE_CHECKING, stat

if TYPE_CHECKING:
    from types import CodeType, ModuleType

#: Path of the bundle, relative to the root of the repository.
BUNDLE_PATH = "target/host.bundle"


class BundleFinder:
    """Import finder and loader for the modules of a bundle.

    Parameters
    ----------
    root : str
        Directory that contains the package.
    modules : dict
        Relative path, modification time, size and code of each module.
    """

    def __init__(self, root: str, modules: dict[str, tuple[str, int, int, CodeType]]):
        self.root = root
        self.modules = modules

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Return the spec of a module, None if it is missing or has changed."""
        found = self.modules.get(name)
        if found is None:
            return None
        relative_path, mtime_ns, size, _ = found
        source = f"{self.root}/{relative_path}"
        state = stat(source)
        if (state.st_mtime_ns, state.st_size) != (mtime_ns, size):
            # The source was changed after the build and takes precedence.
            return None
        is_package = relative_path.endswith("/__init__.py")
        spec = ModuleSpec(name, self, origin=source, is_package=is_package)
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [source.rpartition("/")[0]]
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Use the interpreter's default for creating the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Execute a module's code."""
        exec(self.modules[module.__name__][3], module.__dict__)


def encode_bundle(
    root: str, modules: dict[str, CodeType], init_sources: list[str]
) -> bytes:
    """Return the bytes of a bundle.

    Parameters
    ----------
    root : str
        Directory that contains the package.
    modules : dict
        Code of each module by its name; its file name is the path of the source.
    init_sources : list of str
        Sources of the ``__init__`` methods that data classes compile.
    """
    rows = {}
    for name, code in modules.items():
        state = stat(code.co_filename)
        relative_path = code.co_filename.removeprefix(f"{root}/")
        rows[name] = (relative_path, state.st_mtime_ns, state.st_size, code)
    compiled = {source: compile(source, "<record>", "exec") for source in init_sources}
    return dumps((sys.version, rows, compiled))


def install_bundle(root: str) -> bool:
    """Make imports use the bundle; return whether there is a usable one."""
    try:
        with open(f"{root}/{BUNDLE_PATH}", "rb") as file:
            version, rows, compiled = loads(file.read())
    except (OSError, EOFError, ValueError, TypeError):
        # Without a bundle, or with a truncated one, modules are imported one by one.
        return False
    if version != sys.version:
        return False
    sys.meta_path.insert(0, BundleFinder(root, rows))
    # Imported here so that it also comes from the bundle.
    from citronspring.records import COMPILED_INITS

    COMPILED_INITS.update(compiled)
    return True
