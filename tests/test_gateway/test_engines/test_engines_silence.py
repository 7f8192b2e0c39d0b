"""Engines that have gone silent."""

from __future__ import annotations

import pytest

from ringseam.backends import BackendId
from ringseam.gateway.engines.silence import (
    FIRST_SILENCE_S,
    STREAMING_SILENCE_S,
    OpenAnswer,
    SilenceBook,
)

ENGINE = BackendId('e')


class Line:
    closed = False

    def close(self):
        self.closed = True


def answer(sent_at=0.0, *, may_repeat=True):
    return OpenAnswer(channel=Line(), sent_at=sent_at, may_repeat=may_repeat)


def book(**answers):
    found = SilenceBook()
    for request, known in answers.items():
        found.sent(ENGINE, request, known)
    return found


@pytest.mark.parametrize(
    ('heard', 'now', 'silent'),
    [
        # Nothing came yet: a long prompt may be read.
        ([], FIRST_SILENCE_S - 0.01, False),
        ([], FIRST_SILENCE_S + 0.01, True),
        # A head alone says nothing of the pace of events.
        ([(0.1, False)], STREAMING_SILENCE_S + 0.2, False),
        ([(0.1, False)], FIRST_SILENCE_S + 0.2, True),
        # Events came, and stopped.
        ([(0.3, True)], 0.3 + STREAMING_SILENCE_S - 0.01, False),
        ([(0.3, True)], 0.3 + STREAMING_SILENCE_S + 0.01, True),
    ],
)
def test_silence_of_one_stream(heard, now, silent):
    known = book(r=answer())
    for at, event in heard:
        known.heard(ENGINE, 'r', at, event=event)
    assert known.silent(now) == ([ENGINE] if silent else [])


def test_events_of_any_stream_show_that_the_engine_lives():
    known = book(r=answer(), q=answer())
    known.heard(ENGINE, 'r', 0.1, event=True)
    known.heard(ENGINE, 'q', 3.0, event=True)
    assert not known.silent(3.5)


def test_request_that_was_just_sent_to_an_idle_engine_is_not_overdue():
    known = book(r=answer())
    known.heard(ENGINE, 'r', 0.1, event=True)
    known.ended(ENGINE, 'r')
    known.sent(ENGINE, 'q', answer(sent_at=10))
    assert not known.silent(10.5)


def test_only_what_may_be_repeated_is_given_up():
    once, again = answer(may_repeat=False), answer()
    known = book(once=once, again=again)
    assert known.give_up(ENGINE) == ['again']
    assert again.channel.closed
    assert not once.channel.closed


def test_nothing_is_kept_of_answers_that_are_over():
    known = book(r=answer())
    known.ended(ENGINE, 'r')
    known.ended(ENGINE, 'r')
    known.heard(ENGINE, 'r', 1, event=True)
    assert not known.lines
