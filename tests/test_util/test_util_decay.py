"""Rate at which capacity is asked for: follows a burst, so that retries don't count on its room."""

from __future__ import annotations

import pytest

from ringseam.gateway.reservations.book import ASKED_DECAY_S
from ringseam.util.decay import DecayingCounter

RATE = 50


def ask(rate, *, start, seconds, per_s):
    for step in range(round(seconds * per_s)):
        rate.add(1, start + step / per_s)
    return start + seconds


def test_rate_of_a_burst_is_known_within_a_second_and_a_half_and_forgotten_within_four():
    asked = DecayingCounter(decay_s=ASKED_DECAY_S)
    now = ask(asked, start=0, seconds=10, per_s=RATE)
    assert asked.per_s(now) == pytest.approx(RATE, rel=0.05)
    now = ask(asked, start=now, seconds=1.5, per_s=4 * RATE)
    assert asked.per_s(now) > 2.5 * RATE
    now = ask(asked, start=now, seconds=4, per_s=RATE)
    assert asked.per_s(now) < 1.3 * RATE


def test_nothing_asked_is_no_rate():
    assert DecayingCounter(decay_s=ASKED_DECAY_S).per_s(5) == 0
