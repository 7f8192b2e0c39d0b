"""What ``ringseam hosts`` shows: guards against an overloaded host that can't be seen."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from typer.testing import CliRunner

from ringseam.backends import GatewayState
from ringseam.cmd import metricspages
from ringseam.cmd.hosts import format_report, read_metrics_page
from ringseam.cmd.main import ExitCode, app
from ringseam.gateway.following.ownership import OwnerLog, Ownership
from ringseam.gateway.hosts.budget import Holder
from ringseam.gateway.hosts.monitor import HostMonitor
from ringseam.hostcapacity import UNKNOWN_CAPACITY, HostCapacity
from ringseam.metrics import Metrics
from ringseam.node import Node
from ringseam.web.server import HttpLimits, HttpServer

LARGE = HostCapacity(cpu_share=0.5, cores=2, memory_bytes=400_000_000)


def metrics_page(capacity):
    metrics = Metrics()
    node = Node(name='g1', role='gateway', address='', secret=b'x')
    monitor = HostMonitor(node=node, metrics=metrics, capacity=capacity)
    monitor.watch(HttpServer(handler=None, limits=HttpLimits()))
    monitor.budget.count(Holder.client_responses, 30_000_000)
    monitor.budget.count(Holder.client_requests, 20_000_000)
    monitor.check()
    state = GatewayState(name='g1', address='g1:1', zone='z')
    follower = SimpleNamespace(gateways=(state,), busy=True)
    log = OwnerLog(node=node, metrics=metrics)
    log.export(Ownership(follower=follower, name='g1'), ['crops', 'signs'])
    log.export(Ownership(follower=follower, name='other'), ['pages'])
    return metrics.render()


def test_line_shows_capacity_load_and_owned_services():
    line = format_report(read_metrics_page('h:9100', metrics_page(LARGE)))
    assert line.startswith('h:9100: processor 1, memory 400 MB, used ')
    assert 'holds 50.0 MB (50 % of its bound), gave up 0 clients, behind' in line
    assert line.endswith('decides for crops, signs')


def loaded_page(**shown):
    figures = {'late': 0.25, 'clients': 30, 'bound': 40, 'full': 0, 'out': 0, **shown}
    return (
        'ringseam_event_loop_late_seconds {late}\nringseam_processor_share 0.9\n'
        'ringseam_client_connections {clients}\nringseam_client_connections_bound {bound}\n'
        'ringseam_host_full {full}\nringseam_host_out {out}\n'
        'ringseam_host_load{{kind="lag"}} 2\nringseam_host_load{{kind="processor"}} 2\n'
        'ringseam_host_load{{kind="connections"}} 1\nringseam_host_load{{kind="held"}} 0\n'
    ).format(**figures)


def test_line_shows_what_is_in_use():
    report = read_metrics_page('h:9100', loaded_page())
    assert report.load == {
        'lag': 'high',
        'processor': 'high',
        'connections': 'medium',
        'held': 'low',
    }
    line = format_report(report)
    assert 'timers 250 ms late (high), 90 % of processor (high), 30 of 40 clients (medium)' in line


@pytest.mark.parametrize(
    ('full', 'out', 'shown'), [(0, 0, 'has room'), (1, 0, 'full, ready'), (1, 1, 'full, not ready')]
)
def test_line_shows_whether_the_host_takes_clients(full, out, shown):
    page = loaded_page(full=full, out=out, bound=0)
    line = format_report(read_metrics_page('h:9100', page))
    assert f'30 of any number of clients (medium), {shown}, in time' in line


def test_unknown_limits_are_named_so():
    line = format_report(read_metrics_page('h:9100', metrics_page(UNKNOWN_CAPACITY)))
    assert 'processor unknown, memory unknown' in line


def test_page_of_a_gateway_that_exports_nothing_yet():
    assert 'decides for none' in format_report(read_metrics_page('h:1', ''))


@pytest.mark.parametrize('form', [[], ['--json']])
def test_hosts_that_do_not_answer_are_named_and_others_shown(monkeypatch, form):
    def request(method, url, **options):
        if 'lost' in url:
            raise metricspages.HTTPError('no route')
        return SimpleNamespace(data=metrics_page(LARGE).encode())

    monkeypatch.setattr(metricspages.urllib3, 'request', request)
    runner = CliRunner()
    shown = runner.invoke(app, ['hosts', '--gateway', 'lost:1,h:9100', *form])
    assert shown.exit_code == ExitCode.done
    assert 'lost:1: no route' in shown.output
    assert 'crops' in shown.output
    assert runner.invoke(app, ['hosts', '--gateway', 'lost:1']).exit_code == ExitCode.unreachable
