"""One measured figure with its baseline and its bound."""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Result:
    """One row of the benchmark report; the field names are keys of the JSON output."""

    name: str
    value: float
    unit: str
    #: The same figure for the simplest alternative, measured in the same run, if any.
    baseline: float | None = None
    #: Largest acceptable value, or smallest for `at_least`; None if there is no bound.
    bound: float | None = None
    #: Whether the value is within its bound.
    held: bool = True
    #: Seed of the random numbers, if the figure depends on one.
    seed: int | None = None
    #: Shell command that measures this figure again.
    command: str = ""

    @classmethod
    def at_most(
        cls,
        name: str,
        value: float,
        unit: str,
        bound: float,
        *,
        baseline: float | None = None,
        seed: int | None = None,
        command: str = "",
    ) -> Result:
        """Return a figure that must not exceed its bound."""
        held = value <= bound
        return cls(name, value, unit, baseline, bound, held, seed, command)

    @classmethod
    def at_least(
        cls,
        name: str,
        value: float,
        unit: str,
        bound: float,
        *,
        baseline: float | None = None,
        seed: int | None = None,
        command: str = "",
    ) -> Result:
        """Return a figure that must not fall below its bound."""
        held = value >= bound
        return cls(name, value, unit, baseline, bound, held, seed, command)

    def to_dict(self) -> dict[str, object]:
        """Return the fields of the row by name."""
        return asdict(self)
