"""Names of data centres in the paths of calls."""

from hypothesis import given
from hypothesis import strategies as st

from chicorypost.base import DataCentreId
from chicorypost.platform import (
    EvacuationCall,
    InvalidDataCentre,
    UnknownCall,
    make_evacuation_target,
    read_call,
    read_data_centre,
)
from chicorypost.platform._settings import MAX_NAME_CHARACTERS
from chicorypost.transport import HttpServerRequest

ANY = frozenset[DataCentreId]()
NAMES = st.text(st.characters(exclude_categories=["Cs"]), max_size=300)


@given(NAMES, st.booleans())
def test_every_possible_name_survives_the_path_and_no_other_is_accepted(name, is_start):
    target = make_evacuation_target(name, is_start)
    call = read_call(HttpServerRequest("POST", target, (), b""))
    assert isinstance(call, EvacuationCall) and call.is_start == is_start
    read = read_data_centre(call.encoded_name, ANY)
    is_possible = 0 < len(name) <= MAX_NAME_CHARACTERS and "/" not in name
    assert read == name if is_possible else isinstance(read, InvalidDataCentre)


@given(st.text(st.sampled_from("%aF2/0 \xff\0?#."), max_size=20))
def test_any_text_in_the_path_is_a_name_or_gets_a_reason(text):
    """An unexpected error costs the call its answer, which makes its caller try again."""
    read = read_data_centre(text, ANY)
    assert read.detail if isinstance(read, InvalidDataCentre) else "/" not in read


def test_other_methods_and_a_path_without_a_name_are_no_calls():
    for method, path in (("GET", "/-/Evacuation.Start/a"), ("POST", "/-/Evacuation.Start")):
        assert read_call(HttpServerRequest(method, path, (), b"")) == UnknownCall()
