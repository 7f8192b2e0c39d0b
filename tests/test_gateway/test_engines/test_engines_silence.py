"""Detection of engines that have gone silent."""

from __future__ import annotations

import pytest

from ringseam.backends import BackendId
from ringseam.gateway.engines.silence import (
    FIRST_SILENCE_S,
    STREAMING_SILENCE_S,
    PendingResponse,
    SilenceDetector,
)

ENGINE = BackendId('e')


class FakeConnection:
    closed = False

    def close(self):
        self.closed = True


def response(sent_at=0.0, *, may_repeat=True):
    return PendingResponse(channel=FakeConnection(), sent_at=sent_at, may_repeat=may_repeat)


def new_detector(**responses):
    found = SilenceDetector()
    for request, pending in responses.items():
        found.request_sent(ENGINE, request, pending)
    return found


@pytest.mark.parametrize(
    ('heard', 'now', 'silent'),
    [
        # No data yet: the prefill of a long prompt may be running.
        ([], FIRST_SILENCE_S - 0.01, False),
        ([], FIRST_SILENCE_S + 0.01, True),
        # A response head alone is no event.
        ([(0.1, False)], STREAMING_SILENCE_S + 0.2, False),
        ([(0.1, False)], FIRST_SILENCE_S + 0.2, True),
        # Events arrived, then stopped.
        ([(0.3, True)], 0.3 + STREAMING_SILENCE_S - 0.01, False),
        ([(0.3, True)], 0.3 + STREAMING_SILENCE_S + 0.01, True),
    ],
)
def test_silence_of_one_stream(heard, now, silent):
    detector = new_detector(r=response())
    for at, event in heard:
        detector.data_received(ENGINE, 'r', at, event=event)
    assert detector.silent_engines(now) == ([ENGINE] if silent else [])


def test_events_of_any_stream_show_that_the_engine_is_alive():
    detector = new_detector(r=response(), q=response())
    detector.data_received(ENGINE, 'r', 0.1, event=True)
    detector.data_received(ENGINE, 'q', 3.0, event=True)
    assert not detector.silent_engines(3.5)


def test_request_that_was_just_sent_to_an_idle_engine_is_not_overdue():
    detector = new_detector(r=response())
    detector.data_received(ENGINE, 'r', 0.1, event=True)
    detector.response_ended(ENGINE, 'r')
    detector.request_sent(ENGINE, 'q', response(sent_at=10))
    assert not detector.silent_engines(10.5)


def test_only_repeatable_requests_are_closed():
    once, again = response(may_repeat=False), response()
    detector = new_detector(once=once, again=again)
    assert detector.close_repeatable(ENGINE) == ['again']
    assert again.channel.closed
    assert not once.channel.closed


def test_ended_responses_leave_no_state():
    detector = new_detector(r=response())
    detector.response_ended(ENGINE, 'r')
    detector.response_ended(ENGINE, 'r')
    detector.data_received(ENGINE, 'r', 1, event=True)
    assert not detector.engines
