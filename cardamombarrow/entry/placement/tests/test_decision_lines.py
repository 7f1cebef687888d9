"""Fields of the log lines of decisions."""

from cardamombarrow.decisions import messages
from cardamombarrow.entry.placement import decision_lines
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids


def _fields(speed):
    placement = messages.Placement(
        ids.RequestId("r1"), ids.EndpointId("e1"), 0.0, (), "least", speed=speed
    )
    return decision_lines._details(placement)[1]


def test_place_line_has_the_speed_and_the_age_of_the_work_time():
    # An operator must see whether a placement used an old or a missing report.
    fields = _fields(messages.EndpointSpeed(1.23456, 0.45678))
    assert fields["speed_factor"] == 1.235
    assert fields["work_time_age_s"] == 0.457
    fields = _fields(messages.EndpointSpeed(1.0, None))
    assert fields["work_time_age_s"] is None


def test_place_line_without_speeds_is_unchanged():
    fields = _fields(None)
    assert "speed_factor" not in fields
    assert "work_time_age_s" not in fields


def test_refuse_line_has_the_less_urgent_requests_that_run():
    # An operator must see whether a request was refused while less urgent ones
    # ran.
    refusal = messages.Refusal(
        ids.RequestId("r1"),
        errors.ErrorKind.OVERLOADED,
        "full",
        1.0,
        7,
        errors.RefusalCheck.ADMISSION,
        0.12345,
    )
    name, fields = decision_lines._details(refusal)
    assert name == "refuse"
    assert fields["less_urgent_running"] == 7
    assert fields["check"] == "admission"
    assert fields["less_urgent_start_age_s"] == 0.123
