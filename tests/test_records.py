"""The light-weight data classes behave like the standard ones."""

from __future__ import annotations

import pytest

from citronspring.records import field, record


@record(eq=True)
class Point:
    """Two numbers."""

    x: int
    y: int = 2


@record
class Row:
    """A row with a list as default."""

    name: str
    values: list = field(default_factory=list)


@record
class Empty:
    """A class without fields."""


def test_fields_are_given_by_position_or_name():
    assert (Point(1).x, Point(1).y) == (1, 2)
    assert Point(y=3, x=1) == Point(1, 3)
    assert Point(1) != Point(2)
    assert Point(1) != Row("a")


def test_missing_and_unknown_fields_are_refused():
    with pytest.raises(TypeError):
        Point()
    with pytest.raises(TypeError):
        Point(1, 2, 3)
    with pytest.raises(AttributeError):
        Point(1).z = 3


def test_each_instance_has_its_own_default():
    first, second = Row("a"), Row("b")
    first.values.append(1)
    assert second.values == []


def test_matches_by_position():
    match Point(1, 5):
        case Point(1, y):
            assert y == 5


def test_shows_its_fields():
    assert repr(Point(1)) == "Point(x=1, y=2)"
    assert repr(Empty()) == "Empty()"
