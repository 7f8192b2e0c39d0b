"""Accounts that compete for the slots of servers without stages, over three gateways.

Load: room for 80 requests a second; a small account asks for 10 beside one that asks for
160. Failures: a server that says nothing about its load and refuses when it is full; a
gateway that is new in the middle of the load.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import statistics
import types

import pytest

from ringseam.backends import BackendId, BackendReport
from ringseam.gateway.accounts.reports import ShareReports
from ringseam.gateway.accounts.succession import change_between
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.priorities import Precedence
from ringseam.gateway.requestcontext import LossCause, Lost, NotRun
from ringseam.gateway.requests.balancing import LatencyPolicy
from ringseam.gateway.requests.plainshares import PlainShares
from ringseam.metrics import Metrics
from ringseam.routes import Account, ServiceName

SERVICE = ServiceName('plain')
WORK_S = 0.05
SLOTS = 2
SERVERS = [
    BackendReport(
        instance=BackendId(name),
        service=SERVICE,
        address=f'{name}:1',
        zone='',
        sequence=1,
        slots=SLOTS,
    )
    for name in ('s1', 's2')
]
#: Requests a second that the servers can do.
ROOM = len(SERVERS) * SLOTS / WORK_S


def context_of(account, rank=0):
    return types.SimpleNamespace(
        service=SERVICE,
        account=types.SimpleNamespace(name=account),
        precedence=Precedence(rank=rank),
    )


def new_shares(health, gateways=3):
    reports = ShareReports(metrics=Metrics())
    return PlainShares(health=health, reports=reports, gateways=lambda: gateways)


class Gateway:
    """The choice of one gateway among the servers, with or without shares."""

    def __init__(self):
        self.health = HealthTracker()
        self.shares = new_shares(self.health)
        self.policy = LatencyPolicy(health=self.health, zone='')


class Servers:
    """Servers with slots and queues, in virtual time."""

    def __init__(self, gateways, *, shared=True, queue=20, reporting=True, seed=1):
        self.gateways = gateways
        self.shared = shared
        self.queue = queue
        self.reporting = reporting
        self.rng = random.Random(seed)
        self.running = collections.Counter()
        self.waiting = {server.instance: collections.deque() for server in SERVERS}
        self.ends = []
        self.numbers = itertools.count()
        self.asked = collections.Counter()
        self.served = collections.Counter()
        self.latencies = collections.defaultdict(list)

    def run(self, rates, seconds, start=0.0):
        for account, rate in rates.items():
            at = start
            while (at := at + self.rng.expovariate(rate)) < start + seconds:
                self.schedule(at, self.offer, account)
        while self.ends:
            at, _, step, *arguments = heapq.heappop(self.ends)
            step(at, *arguments)

    def schedule(self, at, step, *arguments):
        heapq.heappush(self.ends, (at, next(self.numbers), step, *arguments))

    def offer(self, now, account):
        self.asked[account] += 1
        gateway = self.rng.choice(self.gateways)
        context = context_of(account)
        if self.shared and gateway.shares.check(context, SERVERS, now):
            return
        server = gateway.policy.choose(SERVERS, now)
        gateway.health.of(server.instance).in_flight += 1
        attempt = gateway.shares.sent(context, server, now)
        request = (gateway, attempt, account, now)
        if self.running[server.instance] < SLOTS:
            self.running[server.instance] += 1
            self.schedule(now + WORK_S, self.end, request)
        elif len(self.waiting[server.instance]) < self.queue:
            self.waiting[server.instance].append(request)
        else:
            self.answer(now, request, NotRun(detail='', refused_by_server=True))

    def end(self, now, request):
        instance = request[1].server.instance
        if self.waiting[instance]:
            self.schedule(now + WORK_S, self.end, self.waiting[instance].popleft())
        else:
            self.running[instance] -= 1
        self.answer(now, request, Lost(cause=LossCause.not_whole, detail=''))
        _, _, account, sent_at = request
        self.served[account] += 1
        self.latencies[account].append(now - sent_at)
        request[0].health.record_latency(instance, now - sent_at)

    def answer(self, now, request, outcome):
        gateway, attempt, *_ = request
        health = gateway.health.of(attempt.server.instance)
        health.in_flight -= 1
        gateway.shares.ended(attempt, outcome, now)
        if self.reporting:
            health.reported_running = self.running[attempt.server.instance]
            health.reported_waiting = len(self.waiting[attempt.server.instance])
            health.reported_at = now

    def ratio(self, account):
        return self.served[account] / self.asked[account]

    def p95_s(self, account):
        return statistics.quantiles(self.latencies[account], n=20)[-1]


def play(rates, seconds=20, gateways=3, **fields):
    servers = Servers([Gateway() for _ in range(gateways)], **fields)
    servers.run(rates, seconds)
    return servers


@pytest.mark.parametrize('reporting', [True, False])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_small_account_beside_a_large_one_is_served_whole(reporting, seed):
    rates = {'small': ROOM / 8, 'large': 2 * ROOM}
    shared = play(rates, reporting=reporting, seed=seed)
    assert shared.ratio('small') > 0.97
    # Its work and the queue of 0.1 s at which shares apply, twice over: a gateway doesn't know
    # what the others have just sent.
    assert shared.p95_s('small') < 0.4
    assert statistics.median(shared.latencies['small']) < WORK_S + 2 * 0.1
    assert shared.served.total() > 0.9 * 20 * ROOM
    unshared = play(rates, reporting=reporting, seed=seed, shared=False)
    assert unshared.ratio('small') < 0.7


def test_nobody_is_refused_while_there_is_room():
    servers = play({'small': ROOM / 8, 'other': ROOM / 4})
    assert servers.ratio('small') == servers.ratio('other') == 1


def test_account_alone_is_served_as_without_shares():
    rates = {'alone': 2 * ROOM}
    assert play(rates).served == play(rates, shared=False).served


def test_sixteen_accounts_with_a_few_large_ones():
    rates = {f'small{number}': ROOM / 40 for number in range(13)}
    servers = play({**rates, 'x': ROOM / 2, 'y': ROOM, 'z': ROOM})
    assert min(servers.ratio(account) for account in rates) > 0.95
    assert servers.served['x'] + servers.served['y'] > 1.4 * servers.served['z']


def test_new_gateway_serves_small_accounts_whole():
    gateways = [Gateway() for _ in range(3)]
    servers = Servers(gateways)
    rates = {'small': ROOM / 8, 'large': 2 * ROOM}
    servers.run(rates, 5)
    gateways[0] = Gateway()
    servers.asked.clear()
    servers.served.clear()
    servers.run(rates, 5, start=6)
    assert servers.ratio('small') > 0.95


def test_work_that_did_not_run_is_not_charged():
    shares = new_shares(HealthTracker())
    attempt = shares.sent(context_of('a'), SERVERS[0], 0)
    shares.ended(attempt, NotRun(detail='', refused_by_server=True), 0.1)
    assert shares.services[SERVICE].shares.used_per_s(0.1) < 0.01
    assert shares.load_of(SERVICE, SERVERS[:1], 0.15).backlog_s == pytest.approx(0.1)
    assert shares.load_of(SERVICE, [*SERVERS, SERVERS[1]], 0.15).backlog_s == 0
    shares.keep_only(set())
    assert not shares.services[SERVICE].full_until


def test_service_without_servers_refuses_nobody():
    shares = new_shares(HealthTracker())
    assert shares.check(context_of('a'), [], 0) is None


def test_service_without_requests_is_dropped_with_its_gauges():
    """A service that left the route table would keep its state and metrics for ever."""
    shares = new_shares(HealthTracker())
    follower = types.SimpleNamespace(view=types.SimpleNamespace(serving=lambda name: SERVERS))
    for number in range(500):
        name = ServiceName(f's{number}')
        shares.check(types.SimpleNamespace(**{**vars(context_of('a')), 'service': name}), (), 0)
    shares.publish(follower, 0)
    shares.drop_idle(59)
    assert len(shares.services) == 500
    shares.drop_idle(60)
    shares.publish(follower, 60)
    assert not shares.services
    assert not shares.reports.shown
    assert 'ringseam_account' not in shares.reports.metrics.render()


def test_load_of_an_unknown_service_leaves_no_state():
    shares = new_shares(HealthTracker())
    assert shares.load_of(SERVICE, SERVERS, 0).backlog_s == 0
    assert not shares.services


def test_sixty_thousand_accounts_leave_a_bounded_state_that_ends():
    """Load: 60,000 accounts with a request each within 3 s, beside a large one."""
    shares = new_shares(HealthTracker())
    for number in range(60_000):
        now = number / 20_000
        shares.check(context_of(f'a{number}'), SERVERS, now)
        if number % 100 == 0:
            shares.sent(context_of('large'), SERVERS[0], now)
    tables = shares.services[SERVICE].shares.ranks.values()
    assert sum(len(table.accounts) for table in tables) <= 8192
    assert shares.services[SERVICE].shares.used_by('large', 3) > 0
    shares.drop_idle(15)
    assert not shares.services[SERVICE].shares.ranks


def test_renamed_account_is_refused_as_before():
    """Load: both servers are full and the large account caused it; then it is renamed."""
    health = HealthTracker()
    for one in SERVERS:
        health.of(one.instance).in_flight = 40
    shares = new_shares(health)
    for number in range(200):
        shares.check(context_of('large'), SERVERS, number / 200)
        shares.sent(context_of('large'), SERVERS[number % 2], number / 200)
    for _ in range(10):
        shares.check(context_of('small'), SERVERS, 1)
        shares.sent(context_of('small'), SERVERS[0], 1)
    assert shares.check(context_of('large'), SERVERS, 1) is not None
    change = change_between(
        [Account(name='large', keys=frozenset('k'))], [Account(name='big', keys=frozenset('k'))]
    )
    shares.accounts_changed(change, 1)
    assert shares.check(context_of('big'), SERVERS, 1) is not None
    assert shares.check(context_of('small'), SERVERS, 1) is None
