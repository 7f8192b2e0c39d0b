"""Stages of a request at scripted servers: owners, capacity, inputs, shutdown."""

from __future__ import annotations

import asyncio
import json

import pytest

from ringseam.backends import BackendId, BackendReport, GatewayState
from ringseam.gateway.stages.capacity import ResultCapacity
from ringseam.gateway.stages.jobs import Piece, PieceJob, StageCall
from ringseam.routes import BatchSpec, ServiceName
from tests.gateways import (
    LocalGateway,
    ScriptedServer,
    event_ids,
    http_response,
    manifest,
    refuse_full,
    reset,
    stream_script,
)


def piece_worker(address_of, *, fault_first=''):
    calls = []

    async def script(asked, writer):
        if 'stage-free' in asked.lines[0]:
            calls.append(('free', json.loads(asked.body)['handles']))
            writer.write(http_response(asked, b'{}'))
            return
        items = json.loads(asked.body)['items']
        calls.append(('run', items))
        made = [
            {'handle': f'{address_of()}/{item["id"]}-{item["stage"]}-{item["piece"]}'}
            for item in items
        ]
        if fault_first and sum(1 for kind, _ in calls if kind == 'run') == 1:
            made[0] = {'why': fault_first}
        writer.write(http_response(asked, json.dumps({'items': made}).encode()))

    return script, calls


@pytest.mark.parametrize('fault', ['', 'error', 'room', 'gone'])
def test_staged_stream_gets_the_handles_of_its_own_pieces(key_file, fault):
    async def run():
        place = {}
        script, calls = piece_worker(lambda: place['crops'], fault_first=fault)
        crops, engine = ScriptedServer(script), ScriptedServer(stream_script(1, 3))
        async with LocalGateway(key_file) as gateway:
            place['crops'] = await crops.start()
            gateway.add_server(place['crops'], service='crops')
            gateway.add_server(await engine.start())
            found, raw = await gateway.fetch('/staged/x', Pieces='3', Piece_Key='pk')
            await asyncio.sleep(0.1)
        assert found == 200
        assert event_ids(raw) == [1, 2, 3]
        inputs = engine.requests[0].header('Inputs').split(',')
        assert [handle.split('/')[1] for handle in inputs] == ['r1-0-0', 'r1-0-1', 'r1-0-2']
        freed = [handle for kind, handles in calls if kind == 'free' for handle in handles]
        assert set(inputs) <= set(freed)
        ran = [item for kind, items in calls if kind == 'run' for item in items]
        assert all(item['key'] == 'pk' and 'inputs' not in item for item in ran)

    asyncio.run(run())


def test_request_whose_stage_has_no_server_is_refused_within_its_time(key_file):
    async def run():
        engine = ScriptedServer(stream_script(1, 3))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await engine.start())
            found, _ = await gateway.fetch(
                '/staged/x', Pieces='1', Piece_Key='k', Deadline_Ms='300'
            )
        assert found == 503
        assert not engine.requests

    asyncio.run(run())


def test_late_owner_does_not_count_against_healthy_servers(key_file):
    """Guards against calls that are sent locally once the deadline has passed, and whose
    timeouts then count as failures of healthy servers."""

    async def run():
        script, calls = piece_worker(lambda: '')
        crops, engine = ScriptedServer(script), ScriptedServer(stream_script(1, 3))
        silent = await asyncio.start_server(lambda reader, writer: None, '127.0.0.1', 0)
        address = f'127.0.0.1:{silent.sockets[0].getsockname()[1]}'
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await crops.start(), service='crops', name='worker')
            gateway.add_server(await engine.start())
            gateway.set_gateways(GatewayState(name='owner', address=address, zone='a'))
            found, _ = await gateway.fetch(
                '/staged/x', Pieces='1', Piece_Key='k', Deadline_Ms='300'
            )
            standing = gateway.role.health.of(BackendId('worker'))
            assert found == 503
            assert not calls
            assert standing.ejected_until == float('-inf')
        silent.close()

    asyncio.run(run())


async def hanging(asked, writer):
    await asyncio.sleep(3)


async def reset_connection(asked, writer):
    reset(writer)


@pytest.mark.parametrize('first', [refuse_full, hanging])
def test_stage_server_is_not_ejected_for_one_failed_call(key_file, first):
    """Guards against the ejection of healthy servers: while gateways are replaced, two of
    them call the same servers, and each takes refusals caused by the other's calls for
    failures; and packet loss delays single calls, which led to the ejection of two of
    four servers for seconds."""

    async def run():
        place = {}
        script, _ = piece_worker(lambda: place['crops'])
        failed = []

        async def fail_once(asked, writer):
            if 'stage-run' in asked.lines[0] and not failed:
                failed.append(asked)
                await first(asked, writer)
            else:
                await script(asked, writer)

        crops, engine = ScriptedServer(fail_once), ScriptedServer(stream_script(1, 3))
        async with LocalGateway(key_file) as gateway:
            place['crops'] = await crops.start()
            gateway.add_server(place['crops'], service='crops', name='worker')
            gateway.add_server(await engine.start())
            found, _ = await gateway.fetch('/staged/x', Pieces='1', Piece_Key='k')
            standing = gateway.role.health.of(BackendId('worker'))
        assert found == 200
        assert failed
        assert standing.ejected_until == float('-inf')

    asyncio.run(run())


@pytest.mark.parametrize(
    ('first', 'silent'), [(hanging, True), (reset_connection, False), (refuse_full, False)]
)
def test_server_is_silent_from_an_unanswered_call_to_its_next_response(key_file, first, silent):
    async def run():
        place = {}
        seen = []
        script, _ = piece_worker(lambda: place['crops'])

        async def fail_once(asked, writer):
            if 'stage-run' in asked.lines[0]:
                seen.append(gateway.role.health.of(BackendId('worker')).unresponsive)
            if len(seen) == 1:
                await first(asked, writer)
            else:
                await script(asked, writer)

        crops, engine = ScriptedServer(fail_once), ScriptedServer(stream_script(1, 3))
        async with LocalGateway(key_file) as gateway:
            place['crops'] = await crops.start()
            gateway.add_server(place['crops'], service='crops', name='worker')
            gateway.add_server(await engine.start())
            found, _ = await gateway.fetch('/staged/x', Pieces='1', Piece_Key='k')
            seen.append(gateway.role.health.of(BackendId('worker')).unresponsive)
        assert found == 200
        assert seen == [False, silent, False]

    asyncio.run(run())


def test_owner_that_is_shutting_down_is_awaited(key_file):
    async def run():
        script, calls = piece_worker(lambda: '')
        crops = ScriptedServer(script)
        silent = await asyncio.start_server(lambda reader, writer: None, '127.0.0.1', 0)
        address = f'127.0.0.1:{silent.sockets[0].getsockname()[1]}'
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await crops.start(), service='crops', name='worker')
            gateway.set_gateways(GatewayState(name='owner', address=address, zone='a'))
            asked = asyncio.ensure_future(
                gateway.fetch('/staged/x', Pieces='1', Piece_Key='k', Deadline_Ms='2000'),
            )
            await asyncio.sleep(0.2)
            leaving = GatewayState(name='owner', address=address, zone='a', draining=True)
            gateway.set_gateways(leaving)
            gateway.role.piece_scheduler.refresh()
            await asyncio.sleep(0.3)
            assert not calls
            gateway.set_gateways()
            gateway.role.piece_scheduler.refresh()
            await asyncio.sleep(0.3)
            assert calls
            asked.cancel()
        silent.close()

    asyncio.run(run())


def test_owner_that_places_too_late_still_forms_the_batches(key_file):
    """Guards against all gateways forming batches for the same servers for a second,
    because packet loss had delayed placement replies of the owner."""

    async def run():
        script, calls = piece_worker(lambda: '')
        crops, engine = ScriptedServer(script), ScriptedServer(stream_script(1, 3))
        silent = await asyncio.start_server(lambda reader, writer: None, '127.0.0.1', 0)
        address = f'127.0.0.1:{silent.sockets[0].getsockname()[1]}'
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await crops.start(), service='crops', name='worker')
            gateway.add_server(await engine.start())
            gateway.set_gateways(GatewayState(name='owner', address=address, zone='a'))
            found, _ = await gateway.fetch('/sticky/x', Prompt_Prefix='a:100', Token_Counts='100,9')
            assert found == 200
            found, _ = await gateway.fetch(
                '/staged/x', Pieces='1', Piece_Key='k', Deadline_Ms='300'
            )
            assert found == 503
            assert not calls
        silent.close()

    asyncio.run(run())


def test_piece_refused_for_lack_of_capacity_still_has_its_inputs(key_file):
    """Guards against running all stages again: a nearly full server refuses one piece of
    a call, and the piece's inputs have been released by then."""

    async def run():
        place = {}
        freed: list[str] = []

        async def crops(asked, writer):
            if 'stage-free' in asked.lines[0]:
                freed.extend(json.loads(asked.body)['handles'])
                writer.write(http_response(asked, b'{}'))
                return
            items = json.loads(asked.body)['items']
            made = [{'handle': f'{place["crops"]}/{item["id"]}-{item["stage"]}'} for item in items]
            if items[0]['stage'] == 1:
                await asyncio.sleep(0.3)
                calls.append(set(items[0]['inputs']) & set(freed))
                if len(calls) == 1:
                    made = [{'why': 'room'} for _ in items]
            writer.write(http_response(asked, json.dumps({'items': made}).encode()))

        calls: list[set[str]] = []
        worker, engine = ScriptedServer(crops), ScriptedServer(stream_script(1, 3))
        async with LocalGateway(key_file) as gateway:
            gateway.apply_document(manifest(version=2, routes=[two_stages(size=920_000)]))
            place['crops'] = await worker.start()
            gateway.add_server(place['crops'], service='crops', name='worker')
            gateway.add_server(await engine.start())
            found, _ = await gateway.fetch('/staged/x', Pieces='1,1', Piece_Key='k')
        assert found == 200
        assert calls == [set(), set()]

    asyncio.run(run())


# In the owner order of the service, 'a3' precedes this gateway, 'g2' follows it.
@pytest.mark.parametrize(('stopping', 'kept'), [('', False), ('a3', True), ('g2', False)])
def test_inputs_are_kept_while_another_gateway_may_call_the_same_servers(key_file, stopping, kept):
    """Guards against lost inputs during a rolling restart of gateways: calls queue at
    servers behind those of another gateway, and 750 inputs were released before they were
    fetched."""

    async def run():
        place, freed, seen = {}, [], []

        async def crops(asked, writer):
            if 'stage-free' in asked.lines[0]:
                freed.extend(json.loads(asked.body)['handles'])
                writer.write(http_response(asked, b'{}'))
                return
            items = json.loads(asked.body)['items']
            if items[0]['stage'] == 1:
                await asyncio.sleep(0.3)
                seen.append(not freed)
            made = [{'handle': f'{place["crops"]}/{item["id"]}-{item["stage"]}'} for item in items]
            writer.write(http_response(asked, json.dumps({'items': made}).encode()))

        worker, engine = ScriptedServer(crops), ScriptedServer(stream_script(1, 3))
        async with LocalGateway(key_file) as gateway:
            gateway.apply_document(manifest(version=2, routes=[two_stages(size=100)]))
            place['crops'] = await worker.start()
            gateway.add_server(place['crops'], service='crops', name='worker')
            gateway.add_server(await engine.start())
            other = GatewayState(name=stopping, address='127.0.0.1:1', zone='a', draining=True)
            gateway.set_gateways(*([other] if stopping else []))
            gateway.role.ownership.sole_since['crops'] = float('-inf')
            found, _ = await gateway.fetch('/staged/x', Pieces='1,1', Piece_Key='k')
        assert found == 200
        assert seen == [kept]

    asyncio.run(run())


def test_server_that_leaves_while_stages_run_again_is_not_sent_to(key_file):
    """Guards against sending to a server that has left: the second engine was chosen
    before the stages ran again, which took 13 s, and had left by then."""

    async def run():
        place, runs, asked_names = {}, [], []
        again, go_on = asyncio.Event(), asyncio.Event()

        async def crops(asked, writer):
            items = json.loads(asked.body).get('items', [])
            if items:
                runs.append(items)
                if len(runs) == 2:
                    again.set()
                    await go_on.wait()
            made = [{'handle': f'{place["crops"]}/{len(runs)}'} for _ in items]
            writer.write(http_response(asked, json.dumps({'items': made}).encode()))

        def engine(name):
            async def script(asked, writer):
                asked_names.append(name)
                first = len(asked_names) == 1
                await stream_script(1 if first else 2, 1 if first else 3, end=not first)(
                    asked, writer
                )
                if first:
                    reset(writer)

            return ScriptedServer(script)

        worker = ScriptedServer(crops)
        async with LocalGateway(key_file) as gateway:
            route = {**two_stages(size=100), 'resumable': True, 'max_attempts': 2}
            route['stages'] = route['stages'][:1]
            gateway.apply_document(manifest(version=2, routes=[route]))
            place['crops'] = await worker.start()
            gateway.add_server(place['crops'], service='crops', name='worker')
            addresses = {name: await engine(name).start() for name in ('a', 'b', 'c')}
            for name in ('a', 'b'):
                gateway.add_server(addresses[name], name=name)
            answered = asyncio.ensure_future(gateway.fetch('/staged/x', Pieces='1', Piece_Key='k'))
            await again.wait()
            leaving = 'b' if asked_names == ['a'] else 'a'
            gateway.role.follower.view.remove_for_good(BackendId(leaving))
            gateway.add_server(addresses['c'], name='c')
            go_on.set()
            found, _ = await answered
        assert found == 200
        assert leaving not in asked_names

    asyncio.run(run())


def two_stages(size):
    """Return a route with a large second stage."""
    return {
        'name': 'staged',
        'host': 'h.example',
        'path_prefix': '/staged/',
        'kind': 'stream',
        'timeout_ms': 3000,
        'slo_ms': 1500,
        'service': 'plain',
        'stages': [
            {'service': 'crops', 'after': [], 'bytes': 100},
            {'service': 'crops', 'after': [0], 'bytes': size},
        ],
    }


def test_shutdown_refuses_requests_that_are_still_in_stages(key_file):
    """Requests in stages that outlast the grace period of a shutdown would be cut off at
    its end. They are refused 1 s before it, so that their clients have 3 s or more to
    retry elsewhere."""

    async def run():
        engine = ScriptedServer(stream_script(1, 3))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await engine.start())
            gateway.role.settings.role_options['grace_s'] = 4.5
            gateway.apply_document(manifest_with_time(20_000))
            asked = asyncio.create_task(
                gateway.fetch('/staged/x', Pieces='1', Piece_Key='pk', Deadline_Ms='20000')
            )
            await asyncio.sleep(0.1)
            await gateway.role.drain()
            found, raw = await asked
        assert found == 503
        assert b'Retry-After: ' in raw
        assert not engine.requests

    asyncio.run(run())


def manifest_with_time(timeout_ms):
    """Return the default document with another timeout for all routes."""
    document = json.loads(manifest())
    for route in document['routes']:
        route['timeout_ms'] = timeout_ms
    return json.dumps(document).encode()


def test_inputs_of_pieces_that_certainly_fit_are_released_early():
    """A service whose calls nearly fill its servers follows one that is short of capacity.

    The inputs of a whole call were stored until its response, twice as long as needed, so
    the preceding service sent calls of only two thirds of its batch size.
    """
    capacity = ResultCapacity(used_bytes={BackendId('a'): 400 + 500})
    spec = BatchSpec(
        slots=1,
        queue=2,
        batch=50,
        call_s=0.2,
        piece_s=0.01,
        result_capacity_bytes=1000,
        result_retention_s=4,
    )
    pieces = [Piece(job=piece_job(result_bytes=10), number=n, arrival=n) for n in range(50)]
    call = StageCall(server=server_of_crops('a'), pieces=pieces, expected_s=0.7)
    # 400 bytes of other calls; the first 850 of 1,000 are never refused.
    assert capacity.guaranteed_bytes(call, spec) == 450


def piece_job(**fields):
    known = {
        'attempt_id': 'r',
        'service': ServiceName('crops'),
        'stage': 0,
        'pieces': (0,),
        'key': 'k',
        'inputs': (),
        'due': 9,
        'deadline': 9,
        'rank': 0,
    }
    return PieceJob(**(known | fields))


def server_of_crops(name):
    return BackendReport(
        instance=BackendId(name),
        service=ServiceName('crops'),
        address=f'{name}:1',
        zone='a',
        sequence=1,
    )


def test_dispatch_for_an_awaited_server_does_not_wait_for_a_later_timer(key_file):
    """Guards against pieces that stay queued until a pause of another server ends, though the
    server that they wait for is free, and against a timer for each dispatch."""

    async def run():
        async with LocalGateway(key_file) as gateway:
            scheduler = gateway.role.piece_scheduler
            service = ServiceName('crops')
            state = scheduler.state_of(service)
            dispatched = []
            scheduler._dispatch = dispatched.append
            now = scheduler.node.clock.now()
            job = PieceJob(
                attempt_id='r',
                service=service,
                stage=0,
                pieces=(0,),
                key='k',
                due=now + 60,
                deadline=now + 60,
                rank=1,
                result_bytes=1000,
                zone='',
                inputs=(),
            )
            state.batcher.add(job, now)
            state.batcher.awaited_at = now + 0.4
            scheduler._schedule_permit_dispatch(state, now)
            state.batcher.awaited_at = now + 0.05
            for number in range(20):
                scheduler._schedule_permit_dispatch(state, now + number * 0.001)
            await asyncio.sleep(0.2)
            assert dispatched == [service]
            # An earlier dispatch doesn't replace the one of the later timer.
            await asyncio.sleep(0.3)
            assert dispatched == [service, service]

    asyncio.run(run())


# Fault: nothing sent the pieces when the ejection of a server ended.
def test_piece_is_sent_when_an_ejection_ends(key_file):
    async def run():
        place = {}
        script, _ = piece_worker(lambda: place['crops'])
        busy, ejected = ScriptedServer(hanging), ScriptedServer(script)
        engine = ScriptedServer(stream_script(1, 3))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await busy.start(), service='crops', name='busy')
            gateway.add_server(await engine.start())
            held = asyncio.ensure_future(gateway.fetch('/staged/x', Pieces='1', Piece_Key='k'))
            while not busy.requests:
                await asyncio.sleep(0.005)
            health = gateway.role.health.of(BackendId('ejected'))
            health.ejected_until = gateway.role.node.clock.now() + 0.15
            place['crops'] = await ejected.start()
            gateway.add_server(place['crops'], service='crops', name='ejected')
            # Sooner than the call of the other server times out.
            found, _ = await gateway.fetch(
                '/staged/x', Attempt_Id='r2', Pieces='1', Piece_Key='k2', Deadline_Ms='500'
            )
            held.cancel()
        assert found == 200

    asyncio.run(run())


# Fault: the gateway made a tuple of as many pieces as a client asked for.
@pytest.mark.parametrize('pieces', ['9' * 18, '-1', ',' * 5000, '1,,2'])
@pytest.mark.parametrize('path', ['/staged/x', '/idem/x'])
def test_invalid_number_of_pieces_is_rejected_where_there_are_stages(key_file, pieces, path):
    async def run():
        script, calls = piece_worker(lambda: '')
        crops, engine = ScriptedServer(script), ScriptedServer(stream_script(1, 3))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await crops.start(), service='crops')
            gateway.add_server(await engine.start())
            found, raw = await gateway.fetch(path, Pieces=pieces, Piece_Key='k')
        assert found == (400 if path == '/staged/x' else 200)
        assert b'Attempt-Id: r1\r\n' in raw
        assert not calls
        assert bool(engine.requests) is (path == '/idem/x')

    asyncio.run(run())
