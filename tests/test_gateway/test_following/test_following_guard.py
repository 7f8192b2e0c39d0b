"""Which events count as the crash of a server, and which contents are no longer sent."""

import asyncio
from types import SimpleNamespace

import pytest

from ringseam.attribution import REPORT_SETTLE_S
from ringseam.contents import request_content_id
from ringseam.gateway.following.guard import QuarantineGuard
from ringseam.gateway.following.health import HealthTracker
from ringseam.lifetimes import BackendId
from ringseam.model.virtualtime import run_virtual
from ringseam.node import Node
from ringseam.platform.stages import PieceResult, decode_piece_requests, encode_results
from ringseam.quarantine import TrialState
from ringseam.quarantinemessages import (
    CrashReport,
    Heard,
    QuarantineSnapshot,
    Suspect,
    TrialAnswer,
    TrialRequest,
)
from ringseam.web.client import RefusedError
from ringseam.web.exchange import Request
from tests.gateways import (
    LocalGateway,
    ScriptedServer,
    chunk,
    event,
    http_response,
    reset,
    stream_head,
)

SECRET = b'0123456789abcdef'


def content(path, body=b'body', account='acme'):
    """Return the identity of the content that :meth:`LocalGateway.fetch` sends."""
    request = Request(method='POST', target=path, headers=[], body=body, arrived=0)
    return request_content_id(request, host='h.example', account=account, secret=SECRET)


class Crashing(ScriptedServer):
    """A server that crashes once it has started a request."""

    def __init__(self, before=b''):
        super().__init__(self.crash)
        self.before = before
        self.writers = []

    async def crash(self, request, writer):
        self.writers.append(writer)
        if request.header('X-Waits'):
            await asyncio.sleep(5)
        if self.before:
            writer.write(stream_head(request) + self.before)
            await writer.drain()
            await asyncio.sleep(0.05)
        self.server.close()
        for one in self.writers:
            reset(one)


async def respond(request, writer):
    writer.write(http_response(request))


async def respond_with_error(request, writer):
    writer.write(http_response(request, status='500 Broken'))


async def reset_connection(request, writer):
    reset(writer)


async def process_pieces_slowly(request, writer):
    """Process pieces, one call at a time."""
    orders = decode_piece_requests(request.body)
    await asyncio.sleep(0.3)
    made = [PieceResult(handle=f'a/{order.attempt_id}-{order.piece}') for order in orders]
    writer.write(http_response(request, encode_results(made), attempt_id=''))


async def add(gateway, server, name, **known):
    gateway.add_server(await server.start(), name=name, **known)


def test_reset_by_a_running_server_is_not_a_crash(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            for name in 'abc':
                await add(gateway, ScriptedServer(reset_connection), name)
            for number in range(6):
                await gateway.fetch('/idem/x', Attempt_Id=f'r{number}')
            assert not gateway.role.guard.crashes.observed
            assert not gateway.role.guard.local_quarantine.evidence.crashes

    asyncio.run(run())


@pytest.mark.parametrize('before', [b'', chunk(event(1))])
def test_everything_in_flight_on_a_crashed_server_is_suspected(key_file, before):
    async def run():
        async with LocalGateway(key_file) as gateway:
            await add(gateway, Crashing(before), 'a')
            mate = asyncio.create_task(gateway.fetch('/cut/mate', X_Waits='1', Attempt_Id='r2'))
            await asyncio.sleep(0.05)
            await gateway.fetch('/cut/x')
            await mate
            (seen,) = gateway.role.guard.crashes.observed
        found = {suspect.content for suspect in seen.crash.suspects}
        assert found == {content('/cut/x'), content('/cut/mate')}
        assert {suspect.account for suspect in seen.crash.suspects} == {'acme'}
        assert not gateway.role.guard.crashes.in_flight.by_server

    asyncio.run(run())


def test_connection_that_breaks_later_is_not_a_second_crash(key_file):
    """The reset of one connection is lost; that connection fails later by its own timeout."""

    async def run():
        async with LocalGateway(key_file) as gateway:
            guard = gateway.role.guard
            await add(gateway, Crashing(), 'a')
            server = gateway.role.follower.view.backends[BackendId('a')]
            late = Suspect(content=content('/cut/late'), account='acme')
            guard.crashes.request_sent(server, 'late', late)
            await gateway.fetch('/idem/x')
            await guard.crashes.check_crash(server)
            (seen,) = guard.crashes.observed
        assert late in seen.crash.suspects

    asyncio.run(run())


def test_server_that_timed_out_is_not_probed(key_file):
    """A host loses power with forty streams; each retry would wait for a probe."""

    async def run():
        async with LocalGateway(key_file) as gateway:
            guard = gateway.role.guard
            await add(gateway, Crashing(), 'a')
            guard.crashes.server_timed_out(BackendId('a'), None)
            await gateway.fetch('/idem/x')
            assert not guard.crashes.observed

    asyncio.run(run())


def test_without_a_leader_a_gateway_decides_on_its_own_evidence(key_file):
    async def run():
        servers = [Crashing() for _ in range(3)]
        async with LocalGateway(key_file) as gateway:
            for number, server in enumerate(servers):
                await add(gateway, server, f'a{number}')
            for number in range(3):
                await gateway.fetch('/idem/x', Attempt_Id=f'r{number}')
            gateway.role.guard.local_quarantine.evaluate(
                gateway.role.node.clock.now() + REPORT_SETTLE_S
            )
            healthy = ScriptedServer(respond)
            await add(gateway, healthy, 'z')
            status, raw = await gateway.fetch('/idem/x', Attempt_Id='again')
            other, _ = await gateway.fetch('/idem/other', Attempt_Id='other')
        assert (status, other) == (400, 200)
        assert b'retry-after' not in raw.lower()
        assert [request.attempt_id for request in healthy.requests] == ['other']

    asyncio.run(run())


def test_trial_run_whose_server_crashes_is_not_retried(key_file):
    """Its third crash is reported by then, so a retry would only cost a fourth server."""

    async def run():
        servers = [Crashing() for _ in range(4)]
        async with LocalGateway(key_file) as gateway:
            for number, server in enumerate(servers):
                await add(gateway, server, f'a{number}')
            statuses = [
                (await gateway.fetch('/idem/x', Attempt_Id=f'r{number}'))[0] for number in range(2)
            ]
        assert len([server for server in servers if server.requests]) == 3
        assert statuses == [502, 502]

    asyncio.run(run())


def test_trial_pieces_whose_server_crashes_are_not_retried(key_file):
    async def run():
        servers = [Crashing() for _ in range(4)]
        async with LocalGateway(key_file) as gateway:
            for number, server in enumerate(servers):
                await add(gateway, server, f'a{number}', service='crops')
            statuses = [
                (await gateway.fetch('/staged/x', Attempt_Id=f'r{number}', Pieces='1'))[0]
                for number in range(2)
            ]
        assert len([server for server in servers if server.requests]) == 3
        assert 200 not in statuses

    asyncio.run(run())


class Leader:
    """Record the calls to the leader."""

    def __init__(self):
        self.calls = []

    async def call(self, address, method, message, *, timeout_s):
        self.calls.append(message)
        reply = TrialAnswer(state='granted') if isinstance(message, TrialRequest) else Heard()
        return SimpleNamespace(body=SimpleNamespace(reply=reply))


def guard_of(clock, leader, **known):
    follower = SimpleNamespace(
        is_connected=True,
        leader='c1',
        epoch='e1',
        quarantine=QuarantineSnapshot(version=1),
        crash_listeners=[],
        **known,
    )
    return QuarantineGuard(
        node=Node(name='g', role='gateway', address='', secret=b's', clock=clock),
        client=leader,
        follower=follower,
        health=HealthTracker(),
        pool=Refusing(),
    )


class Refusing:
    async def connect(self, address, *, timeout_s):
        raise RefusedError(address, sent=False)


def test_crash_is_reported_before_a_trial_run_is_requested():
    """Guards against a trial run granted without knowledge of a crash.

    A gateway without a leader observes a crash and requests a trial run as soon as it is
    connected again. A leader that has not received the crash grants the run, and a fourth
    server crashes.
    """

    async def run(clock):
        leader = Leader()
        guard = guard_of(clock, leader)
        guard.follower.quarantine = QuarantineSnapshot(version=1, suspects=('c',))
        guard.follower.is_connected = False
        server = SimpleNamespace(instance='a#1', service='s', software='', address='1.1.1.1:1')
        guard.crashes.request_sent(server, 'r1', Suspect(content='c'))
        await guard.crashes.check_crash(server)
        guard.follower.is_connected = True
        context = SimpleNamespace(
            content_id='c', part_ids=(), suspect=Suspect(content='c'), trial_at=None, deadline=9
        )
        assert await guard.admit(context) is TrialState.granted
        return leader.calls

    first, second = run_virtual(run)
    assert isinstance(first, CrashReport)
    assert isinstance(second, TrialRequest)


def test_crashes_are_reported_once_when_the_full_directory_is_requested():
    """The epoch is empty in between; a content cleared since would raise new suspicion."""

    async def run(clock):
        leader = Leader()
        guard = guard_of(clock, leader)
        server = SimpleNamespace(instance='a#1', service='s', software='', address='1.1.1.1:1')
        for epoch in ('e1', '', 'e1', '', 'e1'):
            guard.follower.epoch = epoch
            guard.apply_quarantine()
            if not guard.crashes.observed:
                guard.crashes.request_sent(server, 'r1', Suspect(content='c'))
                await guard.crashes.check_crash(server)
            await asyncio.sleep(1)
        return leader.calls

    assert len(run_virtual(run)) == 1


def test_success_of_a_suspected_content_needs_no_leader(key_file, caplog):
    async def run():
        async with LocalGateway(key_file) as gateway:
            for name in 'ab':
                await add(gateway, Crashing(), name)
            await gateway.fetch('/idem/x')
            await add(gateway, ScriptedServer(respond), 'c')
            status, _ = await gateway.fetch('/idem/x', Attempt_Id='again')
            await asyncio.sleep(0)
            assert not gateway.role.guard.local_quarantine.suspects
        assert status == 200

    asyncio.run(run())
    assert 'background task failed' not in caplog.text


def test_quarantined_content_reaches_no_server_under_any_id(key_file):
    async def run():
        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            await add(gateway, server, 'a')
            await add(gateway, server, 'b', service='crops')
            held = {content('/idem/x'): 0, content('/staged/x'): 0}
            gateway.role.follower.quarantine = QuarantineSnapshot(version=2, quarantined=held)
            statuses = [
                (await gateway.fetch(path, Attempt_Id='new', Pieces=pieces))[0]
                for path, pieces in (('/idem/x', ''), ('/staged/x', '1'), ('/idem/y', ''))
            ]
        assert statuses == [400, 400, 200]
        assert len(server.requests) == 1

    asyncio.run(run())


def test_suspected_content_is_refused_while_the_leader_is_unreachable(key_file):
    """The leader is unreachable: the request is refused for a later retry, and nothing runs."""

    async def run():
        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            await add(gateway, server, 'a')
            gateway.role.follower.is_connected = True
            gateway.role.follower.leader = '127.0.0.1:1'
            suspects = (content('/idem/x'),)
            gateway.role.follower.quarantine = QuarantineSnapshot(version=2, suspects=suspects)
            status, raw = await gateway.fetch('/idem/x')
        assert status == 503
        assert b'retry-after' in raw.lower()
        assert not server.requests

    asyncio.run(run())


@pytest.mark.parametrize('verdict', ['quarantined', 'suspects'])
def test_rejected_content_does_not_raise_the_priority_of_its_route(key_file, verdict):
    """Guards against a priority boost from repeated requests for a quarantined content.

    If rejections count as requests that were not answered on time, the route overtakes the one
    before it, whose requests are refused for seconds after the verdict.
    """

    async def run():
        async with LocalGateway(key_file) as gateway:
            known = {content('/idem/x'): 0}
            held = known if verdict == 'quarantined' else tuple(known)
            snapshot = QuarantineSnapshot(version=2, **{verdict: held})
            gateway.role.follower.quarantine = snapshot
            gateway.role.follower.is_connected = True
            gateway.role.follower.leader = '127.0.0.1:1'
            for number in range(5):
                await gateway.fetch('/idem/x', Attempt_Id=f'try-{number}')
            return gateway.role.forwarder.fairness.routes

    assert not asyncio.run(run())


@pytest.mark.parametrize('is_quarantined', [True, False])
def test_verdict_applies_to_pieces_that_are_still_queued(key_file, is_quarantined):
    async def run():
        server = ScriptedServer(process_pieces_slowly)
        async with LocalGateway(key_file) as gateway:
            await add(gateway, server, 'a', service='crops')
            asks = [
                asyncio.create_task(
                    gateway.fetch(
                        f'/staged/{name}', Attempt_Id=name, Pieces='4', Deadline_Ms='900'
                    ),
                )
                for name in ('first', 'second')
            ]
            await asyncio.sleep(0.2)
            held = {content('/staged/second'): 0} if is_quarantined else {}
            gateway.role.follower.quarantine = QuarantineSnapshot(version=2, quarantined=held)
            await asyncio.gather(*asks)
            bodies = b''.join(request.body for request in server.requests)
        assert b'first' in bodies
        assert (b'second' not in bodies) is is_quarantined

    asyncio.run(run())


def test_crash_of_a_stage_server_is_reported_with_the_contents_of_its_pieces(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            await add(gateway, Crashing(), 'a', service='crops')
            await gateway.fetch('/staged/x', Pieces='2', Deadline_Ms='900')
            (seen,) = gateway.role.guard.crashes.observed
        assert [suspect.content for suspect in seen.crash.suspects] == [content('/staged/x')]

    asyncio.run(run())


def test_confined_account_uses_one_server(key_file):
    async def run():
        servers = [ScriptedServer(respond) for _ in range(4)]
        async with LocalGateway(key_file) as gateway:
            for number, server in enumerate(servers):
                await add(gateway, server, f'a{number}')
            confined = (('acme', 'plain'),)
            gateway.role.follower.quarantine = QuarantineSnapshot(version=2, confined=confined)
            for number in range(12):
                await gateway.fetch(f'/idem/{number}', Attempt_Id=f'r{number}')
        assert sorted(len(server.requests) for server in servers) == [0, 0, 0, 12]

    asyncio.run(run())


@pytest.mark.parametrize(('script', 'survives'), [(respond, True), (respond_with_error, False)])
def test_only_success_shows_that_a_server_survives_a_content(key_file, script, survives):
    """A server may fail a request before running it, so a failure clears no content."""

    async def run():
        async with LocalGateway(key_file) as gateway:
            guard = gateway.role.guard
            await add(gateway, ScriptedServer(script), 'a')
            await gateway.fetch('/idem/x')
            now = gateway.role.node.clock.now()
            assert guard.recent_answers.contains(content('/idem/x'), '', now) is survives
            server = gateway.role.follower.view.backends[BackendId('a')]
            guard.crashes.request_sent(
                server, 'r9', Suspect(content=content('/idem/x'), account='acme')
            )
            await guard.crashes._probe(server)
            assert not guard.crashes.observed

    asyncio.run(run())
