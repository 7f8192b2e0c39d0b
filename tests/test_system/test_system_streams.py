"""Streamed answers and orders to engines, over separate processes."""

from __future__ import annotations

import hashlib
import json

import pytest
import urllib3

from tests.processes import eventually

pytestmark = pytest.mark.processes


@pytest.fixture
def engine_system(system, part_file):
    """Return a system whose one pipeline ends at an engine."""
    layout = system.layout
    layout.add_control(1)
    layout.add_server('writer', pool='demo/writers', kind='engine', token_us=2000)
    layout.add_entry('entry')
    system.start()
    text = (
        f'{part_file}\n[pool writers]\nkind = engine\nmodels = base\n\n'
        '[stage write]\npool = writers\npath = /v1/completions\n\n'
        '[pipeline tell]\nstages = write\naccounts = inspector\ndeadline_ms = 3000\n'
    )
    system.apply(text, expect=0)
    system.await_ready()
    system.post_whole('tell', b'warm-up')
    system.text = text
    return system


def ask_streamed(system, body, **headers):
    return urllib3.request(
        'POST',
        f'http://{system.layout.processes["entry"].http}/v1/pipelines/tell',
        body=body,
        headers={
            'Authorization': 'Bearer caller',
            'Accept': 'text/event-stream',
            **headers,
        },
        retries=False,
        preload_content=False,
    )


def events_of(raw):
    for block in raw.decode().strip().split('\n\n'):
        name, payload = block.split('\n')
        yield name.removeprefix('event: '), json.loads(payload.removeprefix('data: '))


def test_stream_ends_with_count_and_digest(engine_system):
    whole = engine_system.post('tell', b'lot 17').data
    events = list(events_of(ask_streamed(engine_system, b'lot 17').data))
    text = ''.join(payload['text'] for name, payload in events if name == 'text').encode()
    name, end = events[-1]
    assert (name, end['outcome'], end['count']) == ('end', 'completed', len(events) - 1)
    assert end['sha256'] == hashlib.sha256(text).hexdigest()
    assert text == whole


def test_cut_stream_is_never_called_whole(engine_system):
    engine_system.faults('writer', truncate_percent=100)
    reply = ask_streamed(engine_system, b'a prompt that gives several tokens')
    raw = reply.data
    if reply.status == 200:
        assert list(events_of(raw))[-1][1]['outcome'] == 'failed'
    else:
        assert json.loads(raw)['outcome'] == 'failed'


def test_caller_gone_cancels_the_engine(engine_system):
    engine_system.faults('writer', token_us=200_000)
    reply = ask_streamed(engine_system, b'lot 17 and so on')
    next(reply.stream(1))
    reply.close()

    def cancelled():
        return engine_system.events('writer', 'execution_cancelled')

    eventually(cancelled, within_s=3, what='the cancel at the agent')


def test_models_are_ordered_under_a_token(engine_system):
    wanted = engine_system.text.replace('models = base', 'models = base, spare')
    engine_system.apply(wanted, expect=1)
    given = eventually(
        lambda: engine_system.events('writer', 'order_given'),
        what='the order',
    )
    assert given[0]['models'] == ['base', 'spare']
    engine_system.kill('writer')
    engine_system.start('writer')
    engine_system.apply(wanted.replace('base, spare', 'base'), expect=2)
    newer = eventually(
        lambda: engine_system.events('writer', 'order_given')[1:],
        what='the order of the new incarnation',
    )
    assert newer[0]['token'] > given[0]['token']
