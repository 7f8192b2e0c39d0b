"""How a gateway enforces verdicts on prompt parts, on each way to a server.

These tests guard against requests with a part that crashes servers: each of them is unlike the
others, so that only the part tells that it must not be sent.
"""

import asyncio

import msgspec
import pytest

from ringseam.calls import PromptPart
from ringseam.contents import prompt_part_ids
from ringseam.gateway.following import guard as guard_module
from ringseam.gateway.stages.messages import PieceRequest
from ringseam.quarantinemessages import QuarantineSnapshot, ServerCrash, Suspect
from tests.gateways import (
    LocalGateway,
    ScriptedServer,
    chunk,
    event,
    event_ids,
    reset,
    stream_head,
    stream_script,
)
from tests.test_gateway.test_following.test_following_guard import (
    SECRET,
    Crashing,
    add,
    process_pieces_slowly,
    respond,
)

PREFIX = 'aa:100,bad:50,f1:20'


def part(name, service='plain'):
    (known,) = prompt_part_ids([PromptPart(name=name, tokens=1)], service=service, secret=SECRET)
    return known


def quarantine(gateway, *names, **fields):
    """Put verdicts on single parts in force."""
    gateway.role.follower.quarantine = QuarantineSnapshot(
        version=gateway.role.follower.quarantine.version + 1,
        quarantined={part(name): 0 for name in names},
        **fields,
    )


@pytest.mark.parametrize('path', ['/idem/x', '/flow/x', '/sticky/x', '/staged/x'])
def test_request_with_a_quarantined_part_reaches_no_server(key_file, path):
    async def run():
        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            await add(gateway, server, 'a')
            await add(gateway, server, 'b', service='crops')
            quarantine(gateway, 'bad')
            refused, raw = await gateway.fetch(path, Prompt_Prefix=PREFIX, Pieces='1')
            served, _ = await gateway.fetch('/idem/y', Prompt_Prefix='aa:100,f2:20')
        assert (refused, served) == (400, 200)
        assert b'retry-after' not in raw.lower()
        assert len(server.requests) == 1

    asyncio.run(run())


@pytest.mark.parametrize(
    'prefix',
    [
        'BAD:50,f1:20',
        '00bad:50,f1:20',
        ' bad : 50 , f1:20',
        'bad,f1:20',
        'bad:many,f1:20',
        'f1:20,bad',
        'bad:1',
        'bad:1,bad:2,f1:20',
        ',,bad:1,',
    ],
)
def test_odd_lists_of_parts_name_the_same_part(key_file, prefix):
    async def run():
        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            await add(gateway, server, 'a')
            quarantine(gateway, 'bad')
            status, _ = await gateway.fetch('/idem/x', Prompt_Prefix=prefix)
        assert status == 400

    asyncio.run(run())


def test_part_in_a_second_header_is_found(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            await add(gateway, ScriptedServer(respond), 'a')
            quarantine(gateway, 'bad')
            status, _ = await gateway.fetch(
                '/idem/x', Prompt_Prefix='aa:1\r\nPrompt-Prefix: bad:2,f1:3'
            )
        assert status == 400

    asyncio.run(run())


@pytest.mark.parametrize('prefix', ['x' * 8000 + ':1', ','.join(f'{n:x}:1' for n in range(1500))])
def test_huge_lists_of_parts_are_served(key_file, prefix):
    async def run():
        async with LocalGateway(key_file) as gateway:
            await add(gateway, ScriptedServer(respond), 'a')
            quarantine(gateway, 'bad')
            status, _ = await gateway.fetch('/idem/x', Prompt_Prefix=prefix)
        assert status == 200

    asyncio.run(run())


# The verdict often comes while a request waits in a queue or for its server.
def test_verdict_on_a_part_applies_to_pieces_that_are_still_queued(key_file):
    async def run():
        server = ScriptedServer(process_pieces_slowly)
        async with LocalGateway(key_file) as gateway:
            await add(gateway, server, 'a', service='crops')
            asks = [
                asyncio.create_task(
                    gateway.fetch(
                        '/staged/x',
                        Attempt_Id=name,
                        Pieces='4',
                        Deadline_Ms='900',
                        Prompt_Prefix=f'{name}:10,f1:2',
                    ),
                )
                for name in ('aa', 'bad')
            ]
            await asyncio.sleep(0.2)
            quarantine(gateway, 'bad')
            _, (status, _) = await asyncio.gather(*asks)
            bodies = b''.join(request.body for request in server.requests)
        assert b'"aa' in bodies
        assert b'"bad' not in bodies
        assert status == 400

    asyncio.run(run())


def test_verdict_that_comes_while_a_server_is_chosen_holds(key_file, monkeypatch):
    async def run():
        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            await add(gateway, server, 'a')
            runner = gateway.role.forwarder.attempts
            choose = runner.choose

            async def choose_slowly(context):
                chosen = await choose(context)
                quarantine(gateway, 'bad')
                return chosen

            monkeypatch.setattr(runner, 'choose', choose_slowly)
            status, _ = await gateway.fetch('/sticky/x', Prompt_Prefix=PREFIX)
        assert status == 400
        assert not server.requests

    asyncio.run(run())


@pytest.mark.parametrize('path', ['/flow/x', '/sticky/x'])
def test_broken_stream_with_a_quarantined_part_is_not_continued(key_file, path):
    async def run():
        async with LocalGateway(key_file) as gateway:
            other = ScriptedServer(stream_script(1, 6))

            async def break_off(request, writer):
                quarantine(gateway, 'bad')
                await stream_script(1, 3, end=False)(request, writer)

            await add(gateway, ScriptedServer(break_off), 'a')
            request = asyncio.ensure_future(gateway.fetch(path, Prompt_Prefix=PREFIX))
            await asyncio.sleep(0.02)
            await add(gateway, other, 'b')
            _, raw = await request
        assert event_ids(raw) == [1, 2, 3]
        assert not other.requests

    asyncio.run(run())


def test_stream_that_a_client_resumes_with_a_quarantined_part_is_rejected(key_file):
    async def run():
        server = ScriptedServer(stream_script(1, 6))
        async with LocalGateway(key_file) as gateway:
            await add(gateway, server, 'a', software='v1')
            await gateway.fetch('/flow/x', Attempt_Id='r1', Prompt_Prefix=PREFIX)
            quarantine(gateway, 'bad')
            status, _ = await gateway.fetch(
                '/flow/x', Attempt_Id='r2', Prompt_Prefix=PREFIX, Last_Event_Id='3', Resumes='r1'
            )
        assert status == 400
        assert len(server.requests) == 1

    asyncio.run(run())


def test_verdict_on_two_parts_rejects_requests_with_both(key_file):
    async def run():
        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            await add(gateway, server, 'a')
            gateway.role.follower.quarantine = QuarantineSnapshot(
                version=2, quarantined={'digest': 0}, keys={'digest': (part('bad'), part('by'))}
            )
            statuses = [
                (await gateway.fetch('/idem/x', Prompt_Prefix=prefix))[0]
                for prefix in ('bad:1,by:2,f1:3', 'bad:1,f1:3', 'by:1,f1:3')
            ]
        assert statuses == [400, 200, 200]

    asyncio.run(run())


@pytest.mark.parametrize(('account', 'status'), [('acme', 400), ('other', 200)])
def test_verdict_for_one_account_rejects_its_requests_only(key_file, account, status):
    async def run():
        async with LocalGateway(key_file) as gateway:
            await add(gateway, ScriptedServer(respond), 'a')
            quarantine(gateway, 'bad', accounts={part('bad'): account})
            return (await gateway.fetch('/idem/x', Prompt_Prefix=PREFIX))[0]

    assert asyncio.run(run()) == status


# A part that crashes the servers of one service may be harmless to those of another.
def test_verdict_on_a_part_holds_for_its_service(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            await add(gateway, ScriptedServer(respond), 'a')
            gateway.role.follower.quarantine = QuarantineSnapshot(
                version=2, quarantined={part('bad', service='other'): 0}
            )
            return (await gateway.fetch('/idem/x', Prompt_Prefix=PREFIX))[0]

    assert asyncio.run(run()) == 200


def test_crash_is_reported_with_the_parts_that_were_not_answered_lately(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            await add(gateway, ScriptedServer(respond), 'a')
            await gateway.fetch('/idem/x', Prompt_Prefix='aa:100,f0:20')
            gateway.role.follower.view.remove('a')
            await add(gateway, Crashing(), 'b')
            await gateway.fetch('/cut/x', Prompt_Prefix=PREFIX, Attempt_Id='r2')
            (seen,) = gateway.role.guard.crashes.observed
        (suspect,) = seen.crash.suspects
        assert suspect.parts == (part('bad'), part('f1'))
        assert len(seen.crash.ran_ms) == 1

    asyncio.run(run())


# Servers that run stages don't read the prompt, so it can't have crashed them.
def test_crash_of_a_stage_server_is_reported_without_parts(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            await add(gateway, Crashing(), 'a', service='crops')
            await gateway.fetch('/staged/x', Pieces='2', Deadline_Ms='900', Prompt_Prefix=PREFIX)
            (seen,) = gateway.role.guard.crashes.observed
        assert [suspect.parts for suspect in seen.crash.suspects] == [()]

    asyncio.run(run())


# Some servers crash after the first event; the next trial run must not have started by then.
def test_trial_run_lasts_beyond_the_first_event(key_file, monkeypatch):
    monkeypatch.setattr(guard_module, 'SURVIVAL_S', 0.15)

    async def run():
        async with LocalGateway(key_file) as gateway:
            guard = gateway.role.guard
            crash = ServerCrash(
                instance='x',
                service='plain',
                suspects=(Suspect(content='c', parts=(part('bad'),)),),
            )
            for number in range(2):
                guard.local_quarantine.record_crash(
                    msgspec.structs.replace(crash, instance=f'x{number}'), 0
                )
            began = asyncio.Event()

            async def stay_open(request, writer):
                writer.write(stream_head(request) + chunk(event(1)))
                await writer.drain()
                began.set()
                await asyncio.sleep(0.5)
                reset(writer)

            await add(gateway, ScriptedServer(stay_open), 'a')
            request = asyncio.ensure_future(gateway.fetch('/cut/x', Prompt_Prefix=PREFIX))
            await began.wait()
            await asyncio.sleep(0.05)
            assert guard.local_quarantine.trials
            await asyncio.sleep(0.2)
            assert not guard.local_quarantine.trials
            await request

    asyncio.run(run())


def test_messages_of_a_build_without_parts_are_read():
    """Gateways and control hosts are upgraded one after the other."""
    suspect = msgspec.json.decode(b'{"content":"c","account":"a"}', type=Suspect)
    assert suspect.keys == ('c',)
    crash = msgspec.json.decode(
        b'{"instance":"i","service":"s","suspects":[{"content":"c"}]}', type=ServerCrash
    )
    assert crash.suspects_with_age() == [(Suspect(content='c'), 0)]
    snapshot = msgspec.json.decode(b'{"version":3,"quarantined":{"c":1}}', type=QuarantineSnapshot)
    assert not snapshot.keys
    piece = PieceRequest(
        attempt_id='r',
        service='s',
        stage=0,
        pieces=(0,),
        due_ms=1,
        left_ms=1,
        rank=0,
        result_bytes=1,
        zone='a',
    )
    assert b'parts' not in msgspec.json.encode(piece)


def test_verdicts_of_an_earlier_leader_are_kept_until_the_next_one_knows_them():
    earlier = QuarantineSnapshot(
        version=4,
        quarantined={'c': 1, 'digest': 2, 'p': 3},
        keys={'digest': ('p', 'q')},
        accounts={'p': 'acme'},
    )
    later = QuarantineSnapshot(version=1, quarantined={'p': 9})
    merged = later.merged_with(earlier)
    assert merged.quarantined == {'c': 1, 'digest': 2, 'p': 9}
    assert merged.keys == earlier.keys
    assert not merged.accounts
