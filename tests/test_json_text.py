"""JSON is read and written as the standard module does, though that is not imported."""

from __future__ import annotations

import json
import math
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronspring.json_text import compact_encoder, dumps, loads

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)

NO_JSON = ["", "{", "[1,]", "nul", "1 2", '{"a":}', '"a\nb"', "[NaN,", "{} x"]


@given(VALUES)
def test_texts_are_those_of_the_standard_module(value):
    text = json.dumps(value)
    assert dumps(value) == text
    assert loads(text) == value
    assert loads(f" \n{text}\t".encode()) == value


@pytest.mark.parametrize("text", NO_JSON)
def test_what_is_no_json_is_a_value_error(text):
    with pytest.raises(ValueError, match="line 1|Expecting|Extra"):
        loads(text)


@pytest.mark.parametrize("text", NO_JSON)
def test_bad_text_does_not_end_a_process_that_has_only_just_started(text):
    """Bad settings are written, and the process ends instead of serving on.

    The host gets a signal to read its settings, which are cut off. The scanner that
    reads them asks for the error class of a module that a starting host has not
    imported, gets none and returns without an error; the interpreter then raises
    `SystemError`, which nothing expects.
    """
    code = (
        f"from citronspring.json_text import loads\n"
        f"try: loads({text!r})\n"
        f"except ValueError: print('refused')"
    )
    command = [sys.executable, "-S", "-c", f"import sys; sys.path={sys.path!r}\n{code}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.stdout == "refused\n", done.stderr


def test_numbers_that_json_does_not_know_are_read():
    assert loads('{"a": Infinity}') == {"a": math.inf}


def test_writer_asks_for_another_value():
    assert compact_encoder(bytes.hex)({"a": b"\x01", "b": [1]}) == '{"a":"01","b":[1]}'


def test_values_without_a_form_are_refused():
    with pytest.raises(TypeError, match="set"):
        dumps({"a": {1}})
