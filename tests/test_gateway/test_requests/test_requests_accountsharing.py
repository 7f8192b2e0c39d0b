"""A gateway whose servers are full: refusals of a large account, by each request path.

Load: the only server of a service reports that requests queue there; a large account sends
many requests, a small one a few. With the feature off, everything is served as before.
"""

from __future__ import annotations

import asyncio
import logging

import pytest

from ringseam.features import Feature
from ringseam.gateway.accounts.maxmin import MaxMinShares
from ringseam.gateway.accounts.policy import AccountDemand, PlaceLoad, ServiceShares, UnsharedPolicy
from ringseam.gateway.accounts.reports import ShareReports
from ringseam.gateway.accounts.succession import change_between
from ringseam.gateway.featureswitch import FeatureSwitch
from ringseam.gateway.priorities import Precedence
from ringseam.gateway.requests import accountsharing
from ringseam.gateway.requests.accountsharing import AccountSharing
from ringseam.gateway.stages.fairorder import FairOrder
from ringseam.gateway.stages.order import UrgencyOrder
from ringseam.gateway.stages.policies import stage_policies
from ringseam.metrics import Metrics
from ringseam.routes import ServiceName
from tests.gateways import LocalGateway, ScriptedServer, http_response, manifest

TENANTS = [
    {'name': 'large', 'api_keys': ['key-1', 'key-3']},
    {'name': 'small', 'api_keys': ['key-2']},
]
#: 4 running, 8 waiting, 4 slots.
FULL = 'Worker-Load: 4,8,4\r\n'


async def respond_full(request, writer):
    await asyncio.sleep(0.3)
    writer.write(http_response(request, extra=FULL))


async def play(key_file, features, path='/idem/x', keys=('key-1',)):
    """Send requests of the small account, many of the large one, then of both again."""
    server = ScriptedServer(respond_full)
    async with LocalGateway(key_file) as gateway:
        role = gateway.role
        sharing = AccountSharing(
            features=features,
            attempts=role.forwarder.attempts,
            metrics=role.metrics,
        )
        gateway.apply_document(manifest(tenants=TENANTS))
        gateway.add_server(await server.start())
        await gateway.fetch(path, Authorization='Bearer key-2')
        await asyncio.gather(
            *(
                gateway.fetch(path, Attempt_Id=f'l{number}', Authorization='Bearer key-1')
                for number in range(60)
            )
        )
        late = [
            await gateway.fetch(path, Attempt_Id=f's{key}', Authorization=f'Bearer {key}')
            for key in (*keys, 'key-2')
        ]
        sharing.clean_up(set(role.follower.view.backends))
        return late, role.metrics.render()


@pytest.mark.parametrize('path', ['/idem/x', '/once/x'])
def test_large_account_is_refused_at_once_and_the_small_one_served(key_file, path, caplog):
    caplog.set_level(logging.INFO, 'ringseam')
    (refused, served), page = asyncio.run(play(key_file, frozenset({Feature.account_shares}), path))
    assert (refused[0], served[0]) == (503, 200)
    assert float(refused[1].lower().partition(b'retry-after: ')[2].split(b'\r\n')[0]) >= 0.3
    events = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    over = [event for event in events if event['event_name'] == 'request_over_share']
    assert over[-1]['account'] == 'large'
    assert {'wait_ms', 'queue_ms', 'used', 'capacity', 'service'} <= over[-1].keys()
    assert 'ringseam_account_refused{account="large",service="plain"}' in page
    assert 'ringseam_account_share{account="large",rank="0",service="plain"}' in page
    assert 'ringseam_account_refused{account="small"' not in page


def test_another_key_of_the_account_gains_nothing(key_file):
    late, _ = asyncio.run(
        play(key_file, frozenset({Feature.account_shares}), keys=('key-1', 'key-3'))
    )
    assert [status for status, _ in late] == [503, 503, 200]


def test_keys_revoked_or_given_to_a_new_account_gain_nothing(key_file):
    """The large account is over its share when its keys go to an account with a new name."""

    async def play_renaming():
        server = ScriptedServer(respond_full)
        async with LocalGateway(key_file) as gateway:
            role = gateway.role
            sharing = AccountSharing(
                features=frozenset({Feature.account_shares}),
                attempts=role.forwarder.attempts,
                metrics=role.metrics,
            )
            gateway.apply_document(manifest(tenants=TENANTS))
            sharing.clean_up(set())
            gateway.add_server(await server.start())
            await gateway.fetch('/idem/x', Authorization='Bearer key-2')
            await asyncio.gather(
                *(
                    gateway.fetch('/idem/x', Attempt_Id=f'l{number}', Authorization='Bearer key-1')
                    for number in range(60)
                )
            )
            renamed = [{'name': 'huge', 'api_keys': ['key-1']}, TENANTS[1]]
            gateway.apply_document(manifest(tenants=renamed))
            sharing.clean_up(set(role.follower.view.backends))
            tables = sharing.plain_shares.services[ServiceName('plain')].shares.ranks.values()
            names = {name for table in tables for name in table.accounts}
            return names, [
                (await gateway.fetch('/idem/x', Attempt_Id=key, Authorization=f'Bearer {key}'))[0]
                for key in ('key-1', 'key-3', 'key-2')
            ]

    names, statuses = asyncio.run(play_renaming())
    assert names == {'huge', 'small'}
    assert statuses == [503, 401, 200]


def test_unknown_key_is_rejected_before_it_counts(key_file):
    late, page = asyncio.run(play(key_file, frozenset({Feature.account_shares}), keys=('none',)))
    assert late[0][0] == 401
    assert 'account="",' not in page


def test_without_the_feature_everybody_is_served_as_before(key_file):
    late, page = asyncio.run(play(key_file, frozenset()))
    assert [status for status, _ in late] == [200, 200]
    assert 'ringseam_account' not in page


@pytest.mark.parametrize('features', [frozenset(), frozenset({Feature.account_shares})])
def test_accounts_of_route_tables_are_compared_only_with_the_feature(
    key_file, features, monkeypatch
):
    compared = []

    def compare(before, after):
        compared.append((len(before), len(after)))
        return change_between(before, after)

    async def change_routes():
        async with LocalGateway(key_file) as gateway:
            sharing = AccountSharing(
                features=features,
                attempts=gateway.role.forwarder.attempts,
                metrics=gateway.role.metrics,
            )
            for tenants in (TENANTS, TENANTS[1:]):
                gateway.apply_document(manifest(tenants=tenants))
                sharing.clean_up(set())
            return sharing.change

    monkeypatch.setattr(accountsharing, 'change_between', compare)
    change = asyncio.run(change_routes())
    assert compared == ([(0, 2), (2, 1)] if features else [])
    assert change.gone == ({'large'} if features else set())


@pytest.mark.parametrize(
    ('features', 'order'),
    [(frozenset(), UrgencyOrder), (frozenset({Feature.account_shares}), FairOrder)],
)
def test_order_of_pieces_follows_the_feature(features, order):
    policies = stage_policies(FeatureSwitch(settings=features))
    assert policies.new_order is order


def owned(service, shares, load):
    return ServiceShares(service=ServiceName(service), shares=shares, load=load)


def test_shares_of_a_stage_service_are_published_if_it_has_any(key_file):
    role = LocalGateway(key_file).role
    room, load = (PlaceLoad(capacity_per_s=4, backlog_s=backlog_s) for backlog_s in (0, 1))
    shares = MaxMinShares()
    demand = AccountDemand(account='acme', precedence=Precedence(rank=0), amount=3)
    shares.asked(demand, role.node.clock.now())
    role.forwarder.sharing.publish_stage(owned('crops', shares, room))
    assert 'ringseam_account_share' not in role.metrics.render()
    role.forwarder.sharing.publish_stage(owned('crops', shares, load))
    role.forwarder.sharing.publish_stage(owned('other', UnsharedPolicy(), load))
    page = role.metrics.render()
    assert 'ringseam_account_asked{account="acme",rank="0",service="crops"} ' in page
    assert 'service="other"' not in page
    assert 'ringseam_account_share{account="acme",rank="0",service="crops"} 1\n' in page


def test_metrics_name_a_bounded_number_of_accounts():
    metrics = Metrics()
    reports = ShareReports(metrics=metrics)
    for number in range(1000):
        reports.refused(ServiceName('s'), f'a{number}', 1)
    page = metrics.render()
    assert page.count('ringseam_account_refused') < 40
    assert 'ringseam_account_refused{account="*",service="s"} 968' in page


def test_accounts_without_refusals_give_up_their_places_in_the_metrics():
    metrics = Metrics()
    reports = ShareReports(metrics=metrics)
    for number in range(60_000):
        reports.refused(ServiceName('s'), f'a{number}', 1)
    reports.drop_idle(0)
    reports.refused(ServiceName('s'), 'a0', 1)
    reports.drop_idle(599)
    reports.refused(ServiceName('s'), 'new', 1)
    reports.drop_idle(600)
    assert set(reports.counted[ServiceName('s')]) == {'a0'}
    reports.refused(ServiceName('s'), 'new', 1)
    page = metrics.render()
    assert 'ringseam_account_refused{account="a0",service="s"} 2' in page
    assert 'ringseam_account_refused{account="new",service="s"} 1' in page
    assert 'account="a1"' not in page
    reports.drop_idle(1200)
    reports.drop_idle(1800)
    assert not reports.counted
