"""Build the bundle that a host starts from: ``python3 deploy/bundle.py``."""

import sys
from importlib import import_module
from pathlib import Path

ROOT = str(Path(__file__).resolve().parent.parent)
sys.path.insert(0, ROOT)

from citronspring import bundles, records  # noqa: E402

#: Modules that a host imports, the last one with the first flow that it opens; they
#: import all the others.
HOST_MODULES = (
    "citronspring.platform.__main__",
    "citronspring.daemons.token_host",
    "citronspring.tokens.opening_tokens",
)


def compile_modules() -> dict:
    """Return the code of every module of the package that a host imports."""
    for name in HOST_MODULES:
        import_module(name)
    paths = {
        name: module.__file__
        for name, module in sys.modules.items()
        if name.partition(".")[0] == "citronspring" and name != bundles.__name__
    }
    return {
        name: compile(Path(path).read_text(encoding="utf-8"), path, "exec")
        for name, path in paths.items()
    }


def main() -> None:
    """Write the bundle."""
    modules = compile_modules()
    init_sources = [records.init_source(*fields) for fields in records.RECORD_FIELDS]
    path = Path(ROOT, bundles.BUNDLE_PATH)
    path.parent.mkdir(exist_ok=True)
    path.write_bytes(bundles.encode_bundle(ROOT, modules, init_sources))


if __name__ == "__main__":
    main()
