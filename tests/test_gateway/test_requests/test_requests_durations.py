"""Estimates of how long responses take."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ringseam.gateway.requests.durations import ResponseDurations


def test_unknown_route_has_no_estimate():
    assert ResponseDurations().estimate_s('r') == 0


@given(st.lists(st.floats(0.001, 100), min_size=1, max_size=200))
def test_estimate_covers_nearly_all_recent_responses(durations):
    known = ResponseDurations()
    for duration in durations:
        known.record('r', duration)
    recent = durations[-64:]
    estimate = known.estimate_s('r')
    assert estimate in recent
    covered = sum(duration <= estimate for duration in recent)
    assert covered >= 0.95 * len(recent)
    assert sum(duration < estimate for duration in recent) < 0.95 * len(recent)
