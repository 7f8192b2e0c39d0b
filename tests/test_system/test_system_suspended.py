"""A suspended host: what each role believes is as old as it is to everybody else."""

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
from tests.suspension import Suspension

ROLES = ('control', 'entry', 'gateway', 'agent', 'standin')


@pytest.fixture
def suspension(monkeypatch):
    return Suspension(monkeypatch)


@pytest.fixture(name='key_file')
def make_key_file(tmp_path):
    path = tmp_path / 'key'
    path.write_text('0123456789abcdef')
    return path


def planned(folder, kind):
    """Return a role of a small layout, not started."""
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
def test_decisions_and_timers_of_a_role_go_by_one_clock(kind, tmp_path, suspension):
    async def times():
        role = planned(tmp_path, kind)
        loop = asyncio.get_running_loop()
        before = role.node.clock.now()
        suspension.last(60)
        return role.node.clock.now() - before, role.node.clock.now() - loop.time()

    elapsed, apart = run_loop(times())
    assert elapsed == pytest.approx(60, abs=1)
    assert apart == pytest.approx(0, abs=0.1)


def test_gateway_hands_on_the_time_that_is_left_after_a_suspension(key_file, suspension):
    """The first server breaks off over a suspension of a second; the retry has less time."""
    handed = []

    async def break_off(asked, writer):
        handed.append(int(asked.header('Deadline-Ms')))
        suspension.last(1)
        reset(writer)

    async def serve(asked, writer):
        handed.append(int(asked.header('Deadline-Ms')))
        writer.write(http_response(asked))

    async def ask():
        async with LocalGateway(key_file) as gateway:
            for number, script in enumerate((break_off, serve)):
                gateway.add_server(await ScriptedServer(script).start(), name=f's{number}')
            first = [gateway.role.follower.view.backends[BackendId('s0')]]
            later = [gateway.role.follower.view.backends[BackendId('s1')]]
            gateway.role.follower.serving = lambda *_: later if handed else first
            return await gateway.fetch('/idem/x', read_s=60, Deadline_Ms='2500')

    status, _ = run_loop(ask())
    assert (status, len(handed)) == (200, 2)
    assert handed[1] <= handed[0] - 1000


def test_gateway_refuses_to_send_what_has_run_out_in_a_suspension(key_file, suspension):
    asked_again = []

    async def break_off(asked, writer):
        asked_again.append(asked)
        suspension.last(5)
        reset(writer)

    async def ask():
        async with LocalGateway(key_file) as gateway:
            for number in range(2):
                gateway.add_server(await ScriptedServer(break_off).start(), name=f's{number}')
            return await gateway.fetch('/idem/x', read_s=60, Deadline_Ms='2500')

    status, _ = run_loop(ask())
    assert (status, len(asked_again)) == (504, 1)


def test_control_forgets_servers_that_were_silent_over_a_suspension(tmp_path, suspension):
    async def known():
        role = planned(tmp_path, 'control')
        directory = role.follow_service.directory
        report = BackendReport(
            instance=BackendId('i-1'),
            service=ServiceName('signals'),
            address='127.0.0.1:1',
            zone='a',
            sequence=1,
        )
        directory.report(report, role.node.clock.now())
        suspension.last(60)
        return directory.expire(role.node.clock.now())

    assert run_loop(known()) == ['i-1']
