"""Backend servers that name a limit for all gateways, on each way by which work reaches them."""

from __future__ import annotations

import asyncio
import json

import pytest

from ringseam.backends import BackendId
from ringseam.calls import AnswerMarks
from tests.gateways import (
    LocalGateway,
    ScriptedServer,
    answer,
    chunk,
    event,
    manifest,
    stream_head,
)

LIMIT = 'Server-Limit: 1\r\n'
#: With a limit of 1 a second, four seconds may bring one and a half times as much and 5 more.
ALLOWED = 11
BURST = 24


async def limited(asked, writer):
    writer.write(answer(asked, extra=LIMIT))


async def limited_stream(asked, writer):
    head = stream_head(asked)
    writer.write(head.replace(b'Content-Type', LIMIT.encode() + b'Content-Type'))
    writer.write(chunk(event(1)) + b'0\r\n\r\n')


async def free(asked, writer):
    writer.write(answer(asked))


async def burst(gateway, path, **headers):
    """Ask once, and then many times at the same moment."""
    await gateway.ask(path, Attempt_Id='first', **headers)
    asks = (gateway.ask(path, Attempt_Id=f'r{number}', **headers) for number in range(BURST))
    return await asyncio.gather(*asks)


# A server that named its limit kept getting all that came, on every way to it.
@pytest.mark.parametrize(
    ('path', 'script'),
    [
        ('/idem/x', limited),
        ('/once/x', limited),
        ('/flow/x', limited_stream),
        ('/sticky/x', limited_stream),
    ],
)
def test_server_that_names_its_limit_gets_no_more(key_file, path, script):
    async def run():
        server = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.add(await server.start())
            answers = await burst(gateway, path, Deadline_Ms='600')
        assert len(server.asked) <= ALLOWED
        refused = [raw for status, raw in answers if status == 503]
        assert len(refused) == BURST - (len(server.asked) - 1)
        assert all(b'Retry-After' in raw for raw in refused)

    asyncio.run(run())


# Calls for pieces are decided elsewhere than requests, and the limit was lost there as well.
def test_stage_server_that_names_its_limit_gets_no_more_calls(key_file):
    async def run():
        place = {}

        async def crops_script(asked, writer):
            made = []
            if 'stage-run' in asked.lines[0]:
                items = json.loads(asked.body)['items']
                made = [{'handle': f'{place["crops"]}/{item["id"]}'} for item in items]
            body = json.dumps({'items': made}).encode()
            writer.write(answer(asked, body, extra=LIMIT))

        crops, engine = ScriptedServer(crops_script), ScriptedServer(free)
        async with LocalGateway(key_file) as gateway:
            place['crops'] = await crops.start()
            gateway.add(place['crops'], service='crops')
            gateway.add(await engine.start())
            await burst(gateway, '/staged/x', Pieces='4', Piece_Key='pk', Deadline_Ms='600')
            await asyncio.sleep(0.1)
        assert len(crops.asked) <= ALLOWED

    asyncio.run(run())


# Gateways that place by an owner which hears no answer of the server itself.
def test_owner_holds_to_a_limit_that_another_gateway_was_told(key_file):
    async def run():
        server = ScriptedServer(limited_stream)
        async with LocalGateway(key_file) as owner, LocalGateway(key_file) as teller:
            address = await server.start()
            for gateway in (owner, teller):
                gateway.add(address, name='e1')
                gateway.role.ownership.owners['plain'] = ''
            teller.role.ownership.owners['plain'] = owner.role.node.address
            await burst(teller, '/sticky/x', Deadline_Ms='600')
        assert len(server.asked) <= ALLOWED

    asyncio.run(run())


def test_what_a_limited_server_does_not_take_goes_to_the_others(key_file):
    async def run():
        one, other = ScriptedServer(limited), ScriptedServer(free)
        async with LocalGateway(key_file) as gateway:
            gateway.add(await one.start(), name='a')
            answers = await gateway.ask('/idem/x')
            gateway.add(await other.start(), name='b')
            answers = await burst(gateway, '/idem/x')
        assert [status for status, _ in answers] == [200] * BURST
        assert len(one.asked) <= ALLOWED

    asyncio.run(run())


def test_answer_of_an_unknown_server_says_nothing(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            marks = AnswerMarks(
                attempt_id='',
                authentic=False,
                not_run=True,
                encoded=False,
                load=None,
                limit_per_s=1,
                pause_s=3,
                leaving=True,
            )
            words = gateway.role.words
            words.heard(BackendId(''), marks)
        assert (words.limits.named, words.pauses.until, words.leaving) == ({}, {}, set())

    asyncio.run(run())


def test_limit_ends_with_an_answer_that_names_none(key_file):
    async def run():
        says = {'extra': LIMIT}

        async def script(asked, writer):
            writer.write(answer(asked, extra=says['extra']))

        server = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.add(await server.start(), name='s')
            await gateway.ask('/idem/x')
            assert gateway.role.words.limits.of(BackendId('s')).per_s == 1
            says['extra'] = ''
            await asyncio.sleep(1)
            answers = await burst(gateway, '/idem/x')
        assert [status for status, _ in answers] == [200] * BURST

    asyncio.run(run())


@pytest.mark.parametrize('value', ['nan', '-1', '1e999', '', 'many', '1, 2', '9' * 400])
def test_limit_that_is_no_number_changes_nothing(key_file, value):
    async def run():
        async def script(asked, writer):
            writer.write(answer(asked, extra=f'Server-Limit: {value}\r\n'))

        server = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.apply(manifest())
            gateway.add(await server.start())
            answers = await burst(gateway, '/idem/x')
        assert [status for status, _ in answers] == [200] * BURST

    asyncio.run(run())
