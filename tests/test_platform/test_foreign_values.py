"""Values of other types and forms, wherever a host reads JSON, end no process."""

from __future__ import annotations

import pytest

from tests.test_platform.foreign import (
    deliver,
    entry_text,
    leaf_paths,
    make_host,
    pass_on,
    use,
)
from tests.test_platform.test_foreign_numbers import NEW_CONFIGURATION, NEW_TARGET

READER = {"host": "host-2", "at": "10.0.0.5:7702"}
HISTORY = {"routes": {"5": ["archive"]}}

ENTRIES = [
    ("servers/i-c0ffee", NEW_TARGET),
    ("servers/i-1", NEW_TARGET),
    ("op/config", NEW_CONFIGURATION),
    ("readers/north", READER),
    ("readers/south", READER),
    ("route-history/0", HISTORY),
]

FIELDS = [(key, entry, path) for key, entry in ENTRIES for path in leaf_paths(entry)]

#: Values of another type than a field has, and texts that convert to numbers.
OTHER_TYPES = ["null", "true", "[]", "{}", '""', '"x"', '"nan"', f'"{"9" * 400}"']


def check_known_state(host):
    """Check that a host still serves with what it knew before."""
    rows = host.tables.by_service["previews"]
    assert {"i-1", "i-2"} <= {row.target.target_id for row in rows}
    assert host.tables.configuration in (1, NEW_CONFIGURATION["version"])
    assert host.tables.routes


@pytest.mark.parametrize("value", OTHER_TYPES, ids=lambda value: value[:8])
@pytest.mark.parametrize(("key", "entry", "path"), FIELDS)
def test_field_of_another_type_ends_no_host(key, entry, path, value):
    """A configuration with a list for a service ends every host that reads it."""
    host = make_host()
    deliver(host, (key, entry_text(entry, path, value)))
    use(host)
    pass_on(host)
    check_known_state(host)


@pytest.mark.parametrize("value", ['"9"', f'"{"9" * 400}"', '"nan"', "true"])
def test_text_is_no_number_of_a_configuration(value):
    """A number in quotes has no bound, and the metrics of a host fail with it."""
    for path in (("version",), ("limits", "idle_timeout_ms")):
        host = make_host()
        deliver(host, ("op/config", entry_text(NEW_CONFIGURATION, path, value)))
        assert host.tables.configuration == 1
        assert [log.number for log in host.logs].count(614) == 1
