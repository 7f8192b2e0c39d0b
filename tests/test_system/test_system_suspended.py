"""Roles on a suspended host: time spent in a suspension counts for every decision."""

import asyncio
import importlib

import pytest

from ringseam.backends import BackendReport
from ringseam.clock import run_loop
from ringseam.layout import Layout, free_address
from ringseam.lifetimes import BackendId
from ringseam.role import Role
from ringseam.routes import ServiceName
from ringseam.settings import read_settings
from tests.gateways import LocalGateway, ScriptedServer, http_response, reset
from tests.suspension import SimulatedSuspension

ROLES = ('control', 'entry', 'gateway', 'agent', 'standin')


@pytest.fixture
def suspension(monkeypatch):
    return SimulatedSuspension(monkeypatch)


@pytest.fixture(name='key_file')
def make_key_file(tmp_path):
    path = tmp_path / 'key'
    path.write_text('0123456789abcdef')
    return path


def create_role(folder, kind):
    """Create a role of a small layout without starting it."""
    importlib.import_module(f'ringseam.{kind}.role')
    layout = Layout(folder=folder)
    seeds = {'seeds': free_address(), 'cluster_ports': '1, 2'}
    layout.add_control(1, http=free_address(), **seeds)
    layout.add_entry('entry-1')
    layout.add_server('server-1', pool='readers')
    layout.add('gateway', 'gateway-1', http=free_address(), ready=free_address(), **seeds)
    plan = next(plan for plan in layout.processes.values() if plan.role == kind)
    text = plan.settings.read_text(encoding='utf-8')
    return Role.kinds[kind](settings=read_settings(kind, text, path=str(plan.settings)))


@pytest.mark.parametrize('kind', ROLES)
def test_role_clock_and_event_loop_agree_after_a_suspension(kind, tmp_path, suspension):
    async def advance_clock():
        role = create_role(tmp_path, kind)
        loop = asyncio.get_running_loop()
        before = role.node.clock.now()
        suspension.advance(60)
        return role.node.clock.now() - before, role.node.clock.now() - loop.time()

    elapsed_s, difference_s = run_loop(advance_clock())
    assert elapsed_s == pytest.approx(60, abs=1)
    assert difference_s == pytest.approx(0, abs=0.1)


def test_gateway_forwards_the_remaining_time_after_a_suspension(key_file, suspension):
    """The first server resets after a 1 s suspension; the retry has 1 s less time."""
    deadlines_ms = []

    async def reset_after_suspension(request, writer):
        deadlines_ms.append(int(request.header('Deadline-Ms')))
        suspension.advance(1)
        reset(writer)

    async def serve(request, writer):
        deadlines_ms.append(int(request.header('Deadline-Ms')))
        writer.write(http_response(request))

    async def send_request():
        async with LocalGateway(key_file) as gateway:
            for number, script in enumerate((reset_after_suspension, serve)):
                gateway.add_server(await ScriptedServer(script).start(), name=f's{number}')
            first = [gateway.role.follower.view.backends[BackendId('s0')]]
            later = [gateway.role.follower.view.backends[BackendId('s1')]]
            gateway.role.follower.serving = lambda *_: later if deadlines_ms else first
            return await gateway.fetch('/idem/x', read_s=60, Deadline_Ms='2500')

    status, _ = run_loop(send_request())
    assert (status, len(deadlines_ms)) == (200, 2)
    assert deadlines_ms[1] <= deadlines_ms[0] - 1000


def test_gateway_sends_no_retry_past_the_deadline_after_a_suspension(key_file, suspension):
    requests = []

    async def reset_after_suspension(request, writer):
        requests.append(request)
        suspension.advance(5)
        reset(writer)

    async def send_request():
        async with LocalGateway(key_file) as gateway:
            for number in range(2):
                gateway.add_server(
                    await ScriptedServer(reset_after_suspension).start(), name=f's{number}'
                )
            return await gateway.fetch('/idem/x', read_s=60, Deadline_Ms='2500')

    status, _ = run_loop(send_request())
    assert (status, len(requests)) == (504, 1)


def test_control_expires_backends_silent_during_a_suspension(tmp_path, suspension):
    async def expired():
        role = create_role(tmp_path, 'control')
        directory = role.follow_service.directory
        report = BackendReport(
            instance=BackendId('i-1'),
            service=ServiceName('signals'),
            address='127.0.0.1:1',
            zone='a',
            sequence=1,
        )
        directory.report(report, role.node.clock.now())
        suspension.advance(60)
        return directory.expire(role.node.clock.now())

    assert run_loop(expired()) == ['i-1']
