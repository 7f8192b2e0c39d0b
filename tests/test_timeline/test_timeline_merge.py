"""Timelines: causal order of events from processes with skewed clocks."""

from __future__ import annotations

import json

from ringseam.clock import HybridClock, PausedClock
from ringseam.timeline import events_of_request, format_html, format_text, read_events


def line(process, stamp, text, **details):
    return json.dumps(
        {
            'event': 300,
            'event_name': 'x',
            'message': text,
            'levelname': 'INFO',
            'process': process,
            'incarnation': 'i',
            'hlc': list(stamp),
            **details,
        },
    )


def test_cause_before_effect_with_skewed_clocks(tmp_path):
    ahead, behind = HybridClock(clock=PausedClock(start=100)), HybridClock(clock=PausedClock())
    sent = ahead.tick()
    behind.observe(*sent)
    received = behind.tick()
    (tmp_path / 'b.log').write_text(line('b', received, 'received', request='r1') + '\nnot json\n')
    (tmp_path / 'a.log').write_text(line('a', sent, 'sent', request='r1') + '\n')
    (tmp_path / 'c.log').write_text(line('c', (1, 0), 'other', request='r2') + '\n')
    events = read_events(sorted(tmp_path.glob('*.log')))
    assert [event.text for event in events_of_request(events, 'r1')] == ['sent', 'received']
    assert 'other' in format_text(events)


def test_page_is_complete_and_escaped(tmp_path):
    (tmp_path / 'a.log').write_text(line('a', (1, 0), '<script>', detail='<b>'))
    page = format_html(read_events([tmp_path / 'a.log']))
    assert page.endswith('</html>\n')
    assert '<script>' not in page
