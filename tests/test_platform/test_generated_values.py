"""Generated values in what a host reads end no process and leave the rest in use.

More examples by hand: ``GENERATED_EXAMPLES=10000 python -m pytest -n 0 FILE``.
"""

from __future__ import annotations

import json
import os
from contextlib import suppress

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from citronspring.errors import SettingsError
from citronspring.platform.settings import decode_settings
from citronspring.tokens.messages import PeerSnapshot
from citronspring.tokens.peer_snapshot import decode_snapshot
from citronspring.tokens.times import ReaderTimes
from tests.test_platform.foreign import (
    HISTORY,
    NEW_CONFIGURATION,
    NEW_TARGET,
    PLACEHOLDER,
    READER,
    answers_of_a_host,
    count_unreadable,
    deliver,
    leaf_paths,
    make_host,
    pass_on,
    use,
    value_at,
    write_logs,
)
from tests.test_platform.test_settings import VALID_SETTINGS

ENTRIES = {
    "servers/i-c0ffee": NEW_TARGET,
    "servers/i-1": NEW_TARGET,
    "op/config": NEW_CONFIGURATION,
    "op/evacuate/south": {},
    "readers/north": READER,
    "readers/south": READER,
    "route-history/0": HISTORY,
}

#: Longest log line for one entry, in characters.
MAX_LINE = 2_000

EXAMPLES = int(os.environ.get("GENERATED_EXAMPLES", "60"))

generated = settings(
    max_examples=EXAMPLES,
    derandomize="GENERATED_EXAMPLES" not in os.environ,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)

#: JSON texts: numbers of any size, texts with any code points, nested values.
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(("\ud800", "x" * 3000, "9" * 400, "10.0.0.1:80", "ready")),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=6,
)
TEXTS = st.one_of(
    VALUES.map(json.dumps),
    st.sampled_from(("1e999", "-1e999", "9" * 5000, "[" * 3000, "", "{")),
)


@st.composite
def changed_documents(draw, document):
    """Return a JSON document as text, with some of its values replaced."""
    text_of = {}
    changed = json.loads(json.dumps(document))
    paths = [path for path in leaf_paths(document) if path]
    chosen = (
        draw(st.lists(st.sampled_from(paths), max_size=3, unique=True)) if paths else []
    )
    for number, path in enumerate(chosen):
        holder = value_at(changed, path[:-1])
        if draw(st.booleans()) and isinstance(holder, dict):
            holder.pop(path[-1])
            continue
        mark = f"{PLACEHOLDER}{number}"
        holder[path[-1]] = mark
        text_of[mark] = draw(TEXTS)
    text = json.dumps(changed)
    for mark, value in text_of.items():
        text = text.replace(json.dumps(mark), value)
    return text


def entries():
    """Return a strategy for keys of the store with changed entries."""
    known = [
        st.tuples(st.just(key), changed_documents(one)) for key, one in ENTRIES.items()
    ]
    return st.one_of(*known, st.tuples(st.sampled_from(sorted(ENTRIES)), TEXTS))


@given(st.lists(entries(), min_size=1, max_size=4))
@generated
def test_entries_of_other_writers_harm_nothing(tmp_path_factory, written):
    host = make_host()
    deliver(host, *written)
    use(host)
    pass_on(host)
    rows = {row.target.target_id for row in host.tables.by_service["previews"]}
    assert "i-2" in rows
    assert count_unreadable(host) <= len(written)
    # The driver's flows are shorter than the platform's.
    host.logs = [log for log in host.logs if "flow" not in log.fields]
    lines = write_logs(host, tmp_path_factory.mktemp("generated") / "log")
    assert len(lines) == len(host.logs)
    assert max(len(json.dumps(line)) for line in lines) < MAX_LINE
    deliver(make_host(), *written[::-1])


ANSWERS = answers_of_a_host()


@given(
    st.sampled_from(range(len(ANSWERS))).flatmap(
        lambda number: st.tuples(
            st.just(ANSWERS[number][0]), changed_documents(ANSWERS[number][1])
        )
    )
)
@generated
def test_answers_of_other_hosts_harm_nothing(answered):
    decode, text = answered
    answer = decode(200, text.encode("utf-8", "surrogatepass"))
    host = make_host()
    host.answer(answer)
    use(host)
    snapshot = decode_snapshot(*host.core.snapshot(host.now))
    assert isinstance(snapshot, PeerSnapshot)


@given(changed_documents(VALID_SETTINGS))
@generated
def test_settings_are_read_or_refused(text):
    """A host reads its settings again while it runs, and must not end by that."""
    with suppress(SettingsError):
        found = decode_settings(text.encode("utf-8", "surrogatepass"))
        ReaderTimes.from_settings(found)
        make_host().core.set_link_limit(found.link_limit, 0.0)
