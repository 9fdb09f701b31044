"""The modules that a starting host imports, compiled into one file.

A host that was killed serves again only after its imports. Found and read one by one,
fifty modules are five hundred system calls, and each data class compiles its
``__init__`` when the first instance is made. Both are done when the host is built.
"""

from __future__ import annotations

import sys
from _frozen_importlib import ModuleSpec
from marshal import dumps, loads

from citronspring.light_stdlib import TYPE_CHECKING, stat

if TYPE_CHECKING:
    from types import CodeType, ModuleType

#: Where the build puts it, from the root of the repository.
BUNDLE_PATH = "target/host.bundle"


class BundleFinder:
    """Finds modules in a bundle.

    Parameters
    ----------
    root : str
        Folder of the package.
    modules : dict
        Path below the root, time of change, size and code of each module.
    """

    def __init__(self, root: str, modules: dict[str, tuple[str, int, int, CodeType]]):
        self.root = root
        self.modules = modules

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Return how a module is loaded, None if it is not here or has changed."""
        found = self.modules.get(name)
        if found is None:
            return None
        relative_path, changed_at, size, _ = found
        source = f"{self.root}/{relative_path}"
        state = stat(source)
        if (state.st_mtime_ns, state.st_size) != (changed_at, size):
            # Built from another state of the sources: they count.
            return None
        is_package = relative_path.endswith("/__init__.py")
        spec = ModuleSpec(name, self, origin=source, is_package=is_package)
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [source.rpartition("/")[0]]
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Leave making the module to the interpreter."""

    def exec_module(self, module: ModuleType) -> None:
        """Run a module's code."""
        exec(self.modules[module.__name__][3], module.__dict__)


def encode_bundle(
    root: str, modules: dict[str, CodeType], init_sources: list[str]
) -> bytes:
    """Return the bytes of a bundle.

    Parameters
    ----------
    root : str
        Folder of the package.
    modules : dict
        Code of each module by its name; its file name is the path of the source.
    init_sources : list of str
        Sources of the methods that data classes compile.
    """
    rows = {}
    for name, code in modules.items():
        state = stat(code.co_filename)
        relative_path = code.co_filename.removeprefix(f"{root}/")
        rows[name] = (relative_path, state.st_mtime_ns, state.st_size, code)
    compiled = {source: compile(source, "<record>", "exec") for source in init_sources}
    return dumps((sys.version, rows, compiled))


def install_bundle(root: str) -> bool:
    """Have imports look into the bundle first; return whether there is one to use."""
    try:
        with open(f"{root}/{BUNDLE_PATH}", "rb") as file:
            version, rows, compiled = loads(file.read())
    except (OSError, EOFError, ValueError, TypeError):
        # Without a build, or with one that was cut off, modules are read one by one.
        return False
    if version != sys.version:
        return False
    sys.meta_path.insert(0, BundleFinder(root, rows))
    # Imported only now, so that it comes from the bundle as well.
    from citronspring.records import COMPILED_INITS

    COMPILED_INITS.update(compiled)
    return True
