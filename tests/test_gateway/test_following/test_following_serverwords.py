"""Loads in the headers of responses: recorded, or counted and logged once a server.

Guards against servers that report loads of another form: nothing may change because of them.
"""

from __future__ import annotations

import logging

import pytest

from ringseam.backends import BackendId, BackendView
from ringseam.clock import PausedClock
from ringseam.gateway.following.serverwords import ServerNotices
from ringseam.gateway.serverload.speeds import ObservedSpeeds
from ringseam.metrics import Metrics, series
from ringseam.node import Node
from ringseam.platform.requests import decode_response_metadata
from ringseam.web.client import ResponseHead

SERVER = BackendId('s1')


@pytest.fixture(name='notices')
def make_notices():
    node = Node(
        name='g',
        role='gateway',
        address='g:1',
        secret=b'',
        zone='a',
        clock=PausedClock(),
        incarnation='g',
    )
    return ServerNotices(node=node, metrics=Metrics(), view=BackendView(), speeds=ObservedSpeeds())


def record(notices, text, server=SERVER):
    head = ResponseHead(status=200, headers=[('Worker-Load', text)])
    notices.record(server, decode_response_metadata(head))


def test_loads_of_all_responses_are_recorded(notices):
    record(notices, '1,2,3,250')
    assert notices.speeds.reports.newest(SERVER).figures == (1, 2, 3, 250)
    record(notices, '0,0,3')
    assert notices.speeds.reports.newest(SERVER).figures == (0, 0, 3)
    notices.keep_only({SERVER})
    assert notices.metrics.counters[series('servers_interfered')] == 1


def test_malformed_loads_change_nothing_and_are_logged_once_a_server(notices, caplog):
    record(notices, '1,2,3,250')
    with caplog.at_level(logging.WARNING):
        for text in ('1,2', '1,2,3,4,5', '-1,2,3', '1,2,3,nan', '1,2,99999999', '1,2,0.5'):
            record(notices, text)
            record(notices, text, BackendId('s2'))
    assert notices.speeds.reports.newest(SERVER).figures == (1, 2, 3, 250)
    assert notices.speeds.reports.newest(BackendId('s2')) is None
    assert notices.metrics.counters[series('loads_malformed')] == 12
    logged = [line.msg for line in caplog.records if line.msg['event'] == 370]
    assert [line['backend'] for line in logged] == ['s1', 's2']
