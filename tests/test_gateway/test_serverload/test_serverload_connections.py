"""Connections of a server, shared by all gateways without messages.

Guards against 22 gateways that together open more connections than a server accepts (68 or 310),
against a gateway that starts while the others still use their former parts, and against a reset for
too many connections that counts as a failure of the server.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendId, BackendReport
from ringseam.gateway.serverload.connections import ConnectionLimits, ConnectionShares
from ringseam.gateway.serverload.reports import LoadReports
from ringseam.metrics import Metrics, series
from ringseam.routes import ServiceName

SERVER = BackendId('s1')


def names(count):
    return frozenset(f'g{number}' for number in range(count))


def limits(gateways, max_connections, *, server=SERVER, present=None):
    present = gateways if present is None else present
    return {
        name: ConnectionShares(name=name).limit(server, max_connections, present, 0)
        for name in gateways
    }


@given(st.integers(1, 68), st.integers(0, 400))
def test_all_gateways_together_leave_a_reserve(count, max_connections):
    shares = limits(names(count), max_connections)
    used = sum(shares.values())
    assert used <= max(0, max_connections - max(2, max_connections // 10))
    assert max(shares.values()) - min(shares.values()) <= 1


@given(st.integers(1, 40), st.integers(10, 400))
def test_gateway_that_starts_fits_while_the_others_do_not_know_of_it(count, max_connections):
    before = limits(names(count), max_connections)
    after = limits(names(count + 1), max_connections)
    started = f'g{count}'
    assert sum(before.values()) + after[started] <= max_connections


def test_parts_of_a_gateway_that_is_gone_are_used_by_the_others():
    before, after = limits(names(22), 68), limits(names(11), 68)
    assert sum(after.values()) >= sum(before.values()) - 11
    assert min(after.values()) > max(before.values())


def test_too_few_connections_are_spread_over_the_gateways():
    """With fewer connections than gateways, each gateway has one to some server."""
    gateways = names(22)
    reached = {
        name
        for number in range(20)
        for name, share in limits(gateways, 10, server=BackendId(f's{number}')).items()
        if share
    }
    assert reached == gateways


def test_share_shrinks_while_a_server_refuses_and_returns():
    shares = ConnectionShares(name='g0')
    full = shares.limit(SERVER, 68, names(2), 0)
    shares.record_refusal(SERVER, 0)
    assert shares.limit(SERVER, 68, names(2), 0) == full // 2
    # The resets of one moment are one refusal.
    shares.record_refusal(SERVER, 0.1)
    assert shares.limit(SERVER, 68, names(2), 0.1) >= full // 2
    shares.record_refusal(SERVER, 0.3)
    assert shares.limit(SERVER, 68, names(2), 0.3) < full // 2
    for step in range(50):
        shares.record_refusal(SERVER, 1 + step * 0.2)
    assert shares.limit(SERVER, 68, names(2), 11) >= 1
    assert shares.limit(SERVER, 68, names(2), 30) == full
    shares.keep_only(set())
    assert not shares.refusals


@pytest.mark.parametrize('max_connections', [68, 310])
def test_share_suffices_for_the_requests_of_a_gateway(max_connections):
    """A gateway of 22 has two requests or more at each server at a time."""
    assert min(limits(names(22), max_connections).values()) >= 2


def test_refusals_without_an_answer_between_them_tell_of_a_broken_server():
    shares = ConnectionShares(name='g0')
    assert shares.record_refusal(SERVER, 0)
    # The resets of one moment are one refusal.
    assert shares.record_refusal(SERVER, 0.1)
    assert shares.record_refusal(SERVER, 0.3)
    assert not shares.record_refusal(SERVER, 0.6)
    shares.record_accepted(SERVER)
    assert shares.record_refusal(SERVER, 0.9)
    # Refusals long ago tell nothing of the present.
    shares.record_refusal(SERVER, 1.2)
    assert shares.record_refusal(SERVER, 10)


def test_used_connections_of_a_service_that_leaves_force_are_not_exported(monkeypatch):
    """A gauge that keeps its last value looks like connections that are never released."""
    limits_of = ConnectionLimits(directory=None, reports=None, shares=ConnectionShares(name='g0'))
    metrics = Metrics()
    for used in ({'llm': 3, 'plain': 1}, {'llm': 0}, {}, {'llm': 2}):
        monkeypatch.setattr(limits_of, 'used_by_service', lambda pool, used=used: used)
        limits_of.export(None, metrics)
        expected = {series('connections_used', service=name): n for name, n in used.items()}
        assert metrics.counters == expected


class CountingView:
    """Servers of three services, and how often those of a service were looked up."""

    def __init__(self):
        self.backends = {
            f's{number}': BackendReport(
                instance=BackendId(f's{number}'),
                service=ServiceName(f'service{number % 3}'),
                address=f'10.0.0.1:{number}',
                zone='a',
                sequence=1,
            )
            for number in range(300)
        }
        self.lookups = 0

    def serving(self, service):
        self.lookups += 1
        return [server for server in self.backends.values() if server.service == service]


def test_used_connections_of_many_servers_are_counted_with_one_lookup_per_service():
    """A lookup for each server would take time quadratic in the servers, every few seconds."""
    view = CountingView()
    limits = ConnectionLimits(
        directory=SimpleNamespace(view=view),
        reports=LoadReports(always=True),
        shares=ConnectionShares(name='g1'),
    )
    pool = SimpleNamespace(used_count=lambda address: 1)
    assert limits.used_by_service(pool) == {f'service{number}': 100 for number in range(3)}
    assert view.lookups <= 3
