"""JSON is read and written as by the standard module, without importing it."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronspring.json_text import NumberOutOfRange, compact_encoder, dumps, loads

#: Numbers in the range that is read; `tests.test_platform.test_foreign_numbers` has the
#: others.
INTEGERS = st.integers(-(10**29) + 1, 10**30 - 1)
FLOATS = st.floats(-1e30, 1e30, exclude_min=True, exclude_max=True)

VALUES = st.recursive(
    st.none() | st.booleans() | INTEGERS | FLOATS | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)

INVALID_JSON = ["", "{", "[1,]", "nul", "1 2", '{"a":}', '"a\nb"', "[NaN,", "{} x"]


@given(VALUES)
def test_texts_are_those_of_the_standard_module(value):
    text = json.dumps(value)
    assert dumps(value) == text
    assert loads(text) == value
    assert loads(f" \n{text}\t".encode()) == value


@pytest.mark.parametrize("text", INVALID_JSON)
def test_invalid_json_raises_value_error(text):
    with pytest.raises(ValueError, match="line 1|Expecting|Extra"):
        loads(text)


@pytest.mark.parametrize("text", INVALID_JSON)
def test_invalid_text_does_not_end_a_freshly_started_process(text):
    """Invalid settings are written, and the process ends instead of serving on.

    The host is signalled to reload truncated settings. The scanner looks up the error
    class in a module that a starting host has not imported, and returns without an
    error; the interpreter then raises `SystemError`, which nothing handles.
    """
    code = (
        f"from citronspring.json_text import loads\n"
        f"try: loads({text!r})\n"
        f"except ValueError: print('refused')"
    )
    command = [sys.executable, "-S", "-c", f"import sys; sys.path={sys.path!r}\n{code}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.stdout == "refused\n", done.stderr


@given(st.integers() | st.floats())
def test_every_number_is_exact_or_out_of_range(number):
    """A number out of range that is read as another one would be used as it is."""
    found = loads(json.dumps([number]))[0]
    assert found == number or (
        isinstance(found, NumberOutOfRange) and not abs(number) < 10**29
    )


def test_encoder_uses_its_default():
    assert compact_encoder(bytes.hex)({"a": b"\x01", "b": [1]}) == '{"a":"01","b":[1]}'


def test_unserializable_values_are_refused():
    with pytest.raises(TypeError, match="set"):
        dumps({"a": {1}})
