"""Streamed responses and orders to engines, over separate processes."""

from __future__ import annotations

import hashlib
import json

import pytest
import urllib3

from tests.processes import eventually

pytestmark = pytest.mark.processes


@pytest.fixture
def engine_system(system, part_file):
    """Start a system with an additional pipeline that is served by an engine."""
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
    system.wait_until_ready()
    system.post_until_success('tell', b'warm-up')
    system.text = text
    return system


def post_streamed(system, body, **headers):
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


def parse_events(raw):
    for block in raw.decode().strip().split('\n\n'):
        name, payload = block.split('\n')
        yield name.removeprefix('event: '), json.loads(payload.removeprefix('data: '))


def test_stream_ends_with_count_and_digest(engine_system):
    unstreamed = engine_system.post('tell', b'lot 17').data
    events = list(parse_events(post_streamed(engine_system, b'lot 17').data))
    text = ''.join(payload['text'] for name, payload in events if name == 'text').encode()
    name, end = events[-1]
    assert (name, end['outcome'], end['count']) == ('end', 'completed', len(events) - 1)
    assert end['sha256'] == hashlib.sha256(text).hexdigest()
    assert text == unstreamed


def test_truncated_stream_is_never_reported_as_completed(engine_system):
    engine_system.set_faults('writer', truncate_percent=100)
    reply = post_streamed(engine_system, b'a prompt that gives several tokens')
    raw = reply.data
    if reply.status == 200:
        assert list(parse_events(raw))[-1][1]['outcome'] == 'failed'
    else:
        assert json.loads(raw)['outcome'] == 'failed'


def test_client_disconnect_cancels_the_engine_execution(engine_system):
    engine_system.set_faults('writer', token_us=200_000)
    reply = post_streamed(engine_system, b'lot 17 and so on')
    next(reply.stream(1))
    reply.close()

    def cancellations():
        return engine_system.events('writer', 'execution_cancelled')

    eventually(cancellations, timeout_s=3, what='the cancellation at the agent')


def test_model_orders_carry_a_fencing_token(engine_system):
    changed = engine_system.text.replace('models = base', 'models = base, spare')
    engine_system.apply(changed, expect=1)
    first_orders = eventually(
        lambda: engine_system.events('writer', 'order_given'),
        what='the model order',
    )
    assert first_orders[0]['models'] == ['base', 'spare']
    engine_system.kill('writer')
    engine_system.start('writer')
    engine_system.apply(changed.replace('base, spare', 'base'), expect=2)
    later_orders = eventually(
        lambda: engine_system.events('writer', 'order_given')[1:],
        what='the model order of the new incarnation',
    )
    assert later_orders[0]['token'] > first_orders[0]['token']
