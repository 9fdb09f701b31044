"""One measured figure, beside its baseline and its bound."""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Result:
    """A row of the benchmark report."""

    name: str
    value: float
    unit: str
    #: The same measure of the simplest alternative in the same run, if any.
    baseline: float | None = None
    #: Greatest or, for a throughput, least acceptable value; None for no bound.
    bound: float | None = None
    held: bool = True
    seed: int | None = None
    #: Runs this figure again.
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
        """Return the row as plain values."""
        return asdict(self)
