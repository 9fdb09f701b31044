"""Data classes that cost little to define, for what a starting host imports.

A host that was killed serves again only after its imports, and the standard library's
data classes were a third of them: their module imports a parser of Python, and each
class compiles six methods. Here a class compiles one, when the first instance is made:
most kinds of messages are not needed for the first packet. Type checkers see the
standard decorator.
"""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING

__all__ = ["field", "record"]

if TYPE_CHECKING:
    from dataclasses import dataclass as record
    from dataclasses import field
    from typing import Any

    RECORD_FIELDS: list[tuple[tuple[str, ...], dict[str, Any]]]
    COMPILED_INITS: dict[str, Any]
else:
    #: Fields of each class and their defaults, for what compiles them ahead.
    RECORD_FIELDS = []

    #: Compiled sources, see `init_source`; filled by `citronspring.bundles`.
    COMPILED_INITS = {}

    class Factory:
        """Makes the default of a field anew for each instance."""

        def __init__(self, make):
            self.make = make

    def field(*, default_factory):
        """Give a field a default that is made anew for each instance."""
        return Factory(default_factory)

    def record(cls=None, *, eq=False):
        """Give a class slots and an ``__init__`` made from its annotations.

        Parameters
        ----------
        cls : type
            The class; fields with a default come last, as in a signature.
        eq : bool
            Whether instances are equal when all fields are; they are not hashable
            then.
        """
        if cls is None:
            return lambda decorated: record(decorated, eq=eq)
        names = tuple(vars(cls).get("__annotations__", ()))
        namespace = dict(vars(cls))
        namespace.pop("__dict__", None)
        namespace.pop("__weakref__", None)
        defaults = {name: namespace.pop(name) for name in names if name in namespace}
        namespace["__slots__"] = names
        namespace["__match_args__"] = names
        namespace["__repr__"] = record_repr
        if eq:
            namespace["__eq__"] = records_equal
            namespace["__hash__"] = None
        made = type(cls)(cls.__name__, cls.__bases__, namespace)
        RECORD_FIELDS.append((names, defaults))

        def init_first(self, *values, **named):
            made.__init__ = make_init(names, defaults)
            made.__init__(self, *values, **named)

        made.__init__ = init_first
        return made


def make_init(names: tuple[str, ...], defaults: dict[str, Any]) -> Any:
    """Return the ``__init__`` that sets each field."""
    source = init_source(names, defaults)
    known: dict[str, Any] = {f"_{name}": value for name, value in defaults.items()}
    exec(COMPILED_INITS.get(source, source), known)
    return known["__init__"]


def init_source(names: tuple[str, ...], defaults: dict[str, Any]) -> str:
    """Return the source of an ``__init__`` that sets each field."""
    parameters = [f"{name}=_{name}" if name in defaults else name for name in names]
    lines = [f"def __init__(self, {', '.join(parameters)}):"]
    if not names:
        lines.append(" pass")
    for name in names:
        value = name
        if hasattr(defaults.get(name), "make"):
            value = f"_{name}.make() if {name} is _{name} else {name}"
        lines.append(f" self.{name} = {value}")
    return "\n".join(lines)


def record_repr(self: Any) -> str:
    """Return the fields as they would be given, for logs and failed tests."""
    fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
    return f"{type(self).__name__}({fields})"


def records_equal(self: Any, other: Any) -> bool:
    """Whether both are of one class and all fields are equal."""
    return type(self) is type(other) and all(
        getattr(self, name) == getattr(other, name) for name in self.__slots__
    )
