"""What a gateway takes for the end of a server, and what it sends to none any more."""

import asyncio
from types import SimpleNamespace

import pytest

from ringseam.contents import request_content_id
from ringseam.gateway.following.guard import QuarantineGuard
from ringseam.gateway.following.health import HealthTracker
from ringseam.lifetimes import BackendId
from ringseam.model.virtualtime import run_virtual
from ringseam.node import Node
from ringseam.platform.stages import PieceResult, decode_orders, encode_results
from ringseam.quarantine import REPORT_SETTLE_S, TrialState
from ringseam.quarantinemessages import (
    CrashReport,
    Heard,
    QuarantineSnapshot,
    Suspect,
    TrialAnswer,
    TrialRequest,
)
from ringseam.web.client import RefusedError
from ringseam.web.server import Request
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
    """Return the identity of what :meth:`LocalGateway.ask` asks for."""
    request = Request(method='POST', target=path, headers=[], body=body, arrived=0)
    return request_content_id(request, host='h.example', account=account, secret=SECRET)


class Crashing(ScriptedServer):
    """A server that ends when it has begun a request."""

    def __init__(self, before=b''):
        super().__init__(self.crash)
        self.before = before
        self.writers = []

    async def crash(self, asked, writer):
        self.writers.append(writer)
        if asked.header('X-Waits'):
            await asyncio.sleep(5)
        if self.before:
            writer.write(stream_head(asked) + self.before)
            await writer.drain()
            await asyncio.sleep(0.05)
        self.server.close()
        for one in self.writers:
            reset(one)


async def good(asked, writer):
    writer.write(http_response(asked))


async def failing(asked, writer):
    writer.write(http_response(asked, status='500 Broken'))


async def resetting(asked, writer):
    reset(writer)


async def make_slowly(asked, writer):
    """Make pieces, one call after the other."""
    orders = decode_orders(asked.body)
    await asyncio.sleep(0.3)
    made = [PieceResult(handle=f'a/{order.attempt_id}-{order.piece}') for order in orders]
    writer.write(http_response(asked, encode_results(made), attempt_id=''))


async def add(gateway, server, name, **known):
    gateway.add_server(await server.start(), name=name, **known)


def test_reset_by_a_server_that_goes_on_is_no_end(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            for name in 'abc':
                await add(gateway, ScriptedServer(resetting), name)
            for number in range(6):
                await gateway.fetch('/idem/x', Attempt_Id=f'r{number}')
            assert not gateway.role.guard.crashes.observed
            assert not gateway.role.guard.local_quarantine.evidence.crashes

    asyncio.run(run())


@pytest.mark.parametrize('before', [b'', chunk(event(1))])
def test_all_that_was_under_way_on_a_server_that_ended_is_suspected(key_file, before):
    async def run():
        async with LocalGateway(key_file) as gateway:
            await add(gateway, Crashing(before), 'a')
            mate = asyncio.create_task(gateway.fetch('/cut/mate', X_Waits='1', Attempt_Id='r2'))
            await asyncio.sleep(0.05)
            await gateway.fetch('/cut/x')
            await mate
            (seen,) = gateway.role.guard.crashes.observed
        found = {suspect.content for suspect in seen.end.suspects}
        assert found == {content('/cut/x'), content('/cut/mate')}
        assert {suspect.account for suspect in seen.end.suspects} == {'acme'}
        assert not gateway.role.guard.crashes.in_flight.by_server

    asyncio.run(run())


def test_connection_that_breaks_later_is_no_second_end(key_file):
    """Load: a link loses the reset of one connection; it breaks by its own time limit."""

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
        assert late in seen.end.suspects

    asyncio.run(run())


def test_server_that_fell_silent_is_not_probed(key_file):
    """Load: a host goes dark with forty streams; each would wait for it before its retry."""

    async def run():
        async with LocalGateway(key_file) as gateway:
            guard = gateway.role.guard
            await add(gateway, Crashing(), 'a')
            guard.crashes.server_timed_out(BackendId('a'), None)
            await gateway.fetch('/idem/x')
            assert not guard.crashes.observed

    asyncio.run(run())


def test_without_a_leader_a_gateway_judges_by_what_it_has_seen(key_file):
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
            sound = ScriptedServer(good)
            await add(gateway, sound, 'z')
            status, raw = await gateway.fetch('/idem/x', Attempt_Id='again')
            other, _ = await gateway.fetch('/idem/other', Attempt_Id='other')
        assert (status, other) == (400, 200)
        assert b'retry-after' not in raw.lower()
        assert [asked.attempt_id for asked in sound.requests] == ['other']

    asyncio.run(run())


def test_run_on_trial_whose_server_ends_is_not_sent_to_another(key_file):
    """Its third end is told by then, so a retry would only cost a fourth server."""

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


def test_pieces_on_trial_whose_server_ends_are_not_made_elsewhere(key_file):
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
    """Records what it is called for."""

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


def test_leader_hears_of_an_end_before_it_is_asked_for_a_run():
    """Seen: a gateway was out of touch when a server ended, and asked for a run as soon as
    it had a leader again. That granted it, not knowing of the end, and a fourth one ended."""

    async def run(clock):
        leader = Leader()
        guard = guard_of(clock, leader)
        guard.follower.quarantine = QuarantineSnapshot(version=1, suspects=('c',))
        guard.follower.is_connected = False
        server = SimpleNamespace(instance='a#1', service='s', software='', address='1.1.1.1:1')
        guard.crashes.request_sent(server, 'r1', Suspect(content='c'))
        await guard.crashes.check_crash(server)
        guard.follower.is_connected = True
        context = SimpleNamespace(content_id='c', trial_at=None, deadline=9)
        assert await guard.admit(context) is TrialState.granted
        return leader.calls

    first, second = run_virtual(run)
    assert isinstance(first, CrashReport)
    assert isinstance(second, TrialRequest)


def test_leader_is_told_all_once_when_the_whole_directory_is_asked_for():
    """Its epoch is empty then; what was cleared since would be blamed anew."""

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


def test_answer_to_a_suspected_content_needs_no_leader(key_file, caplog):
    async def run():
        async with LocalGateway(key_file) as gateway:
            for name in 'ab':
                await add(gateway, Crashing(), name)
            await gateway.fetch('/idem/x')
            await add(gateway, ScriptedServer(good), 'c')
            status, _ = await gateway.fetch('/idem/x', Attempt_Id='again')
            await asyncio.sleep(0)
            assert not gateway.role.guard.local_quarantine.suspects
        assert status == 200

    asyncio.run(run())
    assert 'background task broke' not in caplog.text


def test_quarantined_content_reaches_no_server_under_any_id(key_file):
    async def run():
        server = ScriptedServer(good)
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


def test_suspected_content_waits_for_the_leaders_word(key_file):
    """Its leader can't be reached: it is refused and may come back; nothing has run."""

    async def run():
        server = ScriptedServer(good)
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
def test_rejected_content_raises_the_rank_of_no_other_request(key_file, verdict):
    """A client repeated a content that ends servers; its route went before others.

    Rejections counted as requests that were not served in time, so the route got the
    turn of the one before it, whose requests were refused seconds after the verdict.
    """

    async def run():
        async with LocalGateway(key_file) as gateway:
            known = {content('/idem/x'): 0}
            held = known if verdict == 'quarantined' else tuple(known)
            news = QuarantineSnapshot(version=2, **{verdict: held})
            gateway.role.follower.quarantine = news
            gateway.role.follower.is_connected = True
            gateway.role.follower.leader = '127.0.0.1:1'
            for number in range(5):
                await gateway.fetch('/idem/x', Attempt_Id=f'try-{number}')
            return gateway.role.forwarder.fairness.routes

    assert not asyncio.run(run())


@pytest.mark.parametrize('falls', [True, False])
def test_verdict_that_falls_while_pieces_wait_keeps_them_from_the_servers(key_file, falls):
    async def run():
        server = ScriptedServer(make_slowly)
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
            held = {content('/staged/second'): 0} if falls else {}
            gateway.role.follower.quarantine = QuarantineSnapshot(version=2, quarantined=held)
            await asyncio.gather(*asks)
            bodies = b''.join(asked.body for asked in server.requests)
        assert b'first' in bodies
        assert (b'second' not in bodies) is falls

    asyncio.run(run())


def test_end_of_a_stage_server_is_told_with_the_contents_of_its_pieces(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            await add(gateway, Crashing(), 'a', service='crops')
            await gateway.fetch('/staged/x', Pieces='2', Deadline_Ms='900')
            (seen,) = gateway.role.guard.crashes.observed
        assert [suspect.content for suspect in seen.end.suspects] == [content('/staged/x')]

    asyncio.run(run())


def test_account_that_is_confined_is_kept_to_one_server(key_file):
    async def run():
        servers = [ScriptedServer(good) for _ in range(4)]
        async with LocalGateway(key_file) as gateway:
            for number, server in enumerate(servers):
                await add(gateway, server, f'a{number}')
            confined = (('acme', 'plain'),)
            gateway.role.follower.quarantine = QuarantineSnapshot(version=2, confined=confined)
            for number in range(12):
                await gateway.fetch(f'/idem/{number}', Attempt_Id=f'r{number}')
        assert sorted(len(server.requests) for server in servers) == [0, 0, 0, 12]

    asyncio.run(run())


@pytest.mark.parametrize(('script', 'bears'), [(good, True), (failing, False)])
def test_only_success_shows_that_a_server_bears_a_content(key_file, script, bears):
    """A server may fail a request before it runs it: that clears nobody."""

    async def run():
        async with LocalGateway(key_file) as gateway:
            guard = gateway.role.guard
            await add(gateway, ScriptedServer(script), 'a')
            await gateway.fetch('/idem/x')
            now = gateway.role.node.clock.now()
            assert guard.served.contains(content('/idem/x'), '', now) is bears
            server = gateway.role.follower.view.backends[BackendId('a')]
            guard.crashes.request_sent(
                server, 'r9', Suspect(content=content('/idem/x'), account='acme')
            )
            await guard.crashes._probe(server)
            assert not guard.crashes.observed

    asyncio.run(run())
