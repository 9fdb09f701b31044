"""Data classes that are cheap to define, for modules that a starting host imports.

A restarted host serves only after its imports, and the standard library's data classes
took a third of that time: their module imports a Python parser, and each class compiles
six methods. A class here compiles one, when its first instance is created, because most
kinds of messages are not needed for the first packet. Type checkers see the standard
decorator.
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
    #: Field names and defaults of each class, for the build that compiles them.
    RECORD_FIELDS = []

    #: Compiled code by its source, see `init_source`; filled by `citronspring.bundles`.
    COMPILED_INITS = {}

    class Factory:
        """Creates a new default value of a field for each instance."""

        def __init__(self, make):
            self.make = make

    def field(*, default_factory):
        """Return a field whose default is created for each instance."""
        return Factory(default_factory)

    def record(cls=None, *, eq=False):
        """Give a class slots and an ``__init__`` generated from its annotations.

        Parameters
        ----------
        cls : type
            The class; fields with a default come last, as in a signature.
        eq : bool
            Whether instances are equal when all fields are; such instances are not
            hashable.
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
        new_class = type(cls)(cls.__name__, cls.__bases__, namespace)
        RECORD_FIELDS.append((names, defaults))

        def init_first(self, *values, **named):
            new_class.__init__ = make_init(names, defaults)
            new_class.__init__(self, *values, **named)

        new_class.__init__ = init_first
        return new_class


def make_init(names: tuple[str, ...], defaults: dict[str, Any]) -> Any:
    """Return the ``__init__`` that sets each field."""
    source = init_source(names, defaults)
    scope: dict[str, Any] = {f"_{name}": value for name, value in defaults.items()}
    exec(COMPILED_INITS.get(source, source), scope)
    return scope["__init__"]


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
    """Return an instance's fields as in its constructor, for logs and failed tests."""
    fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
    return f"{type(self).__name__}({fields})"


def records_equal(self: Any, other: Any) -> bool:
    """Whether both have the same class and all fields are equal."""
    return type(self) is type(other) and all(
        getattr(self, name) == getattr(other, name) for name in self.__slots__
    )
