"""``ringseam accounts``: several gateways share between the same accounts."""

from __future__ import annotations

from collections import defaultdict

from ringseam.cmd.accounts import add_account_page, rows_of, table_of
from ringseam.gateway.accounts.maxmin import AccountShare
from ringseam.gateway.accounts.reports import ShareReports
from ringseam.metrics import Metrics

ACCOUNTS = [
    AccountShare(0, 'large', 9, 3, 3.5),
    AccountShare(0, 'small', 1, 1, 3.5),
    AccountShare(1, 'small', 2, 2, float('inf')),
]


def page_of(shares):
    metrics = Metrics()
    reports = ShareReports(metrics=metrics)
    # Replaced by what follows.
    reports.publish('crops', [AccountShare(0, 'gone', 9, 9, 9)])
    reports.publish('crops', shares)
    reports.refused('crops', 'large', 0.5)
    reports.publish('other', [AccountShare(0, 'large', 1, 1, 1)])
    return metrics.render()


def sums_of(*pages):
    sums = defaultdict(lambda: defaultdict(float))
    for page in pages:
        add_account_page(sums, page)
    return sums


def test_amounts_of_all_gateways_are_summed_and_the_largest_comes_first():
    rows = rows_of(sums_of(page_of(ACCOUNTS), page_of(ACCOUNTS)), 'crops')
    assert rows == [
        {'service': 'crops', 'rank': '', 'account': 'large', 'refused': 2},
        {
            'service': 'crops',
            'rank': '0',
            'account': 'large',
            'asked': 18,
            'used': 6,
            'share': 7,
            'refused': 0,
        },
        {
            'service': 'crops',
            'rank': '0',
            'account': 'small',
            'asked': 2,
            'used': 2,
            'share': 7,
            'refused': 0,
        },
        {
            'service': 'crops',
            'rank': '1',
            'account': 'small',
            'asked': 4,
            'used': 4,
            'refused': 0,
        },
    ]


def test_table_shows_a_dash_for_what_does_not_apply():
    lines = table_of(rows_of(sums_of(page_of(ACCOUNTS)), 'crops')).splitlines()
    assert lines[0].split() == ['service', 'rank', 'account', 'asked', 'used', 'share', 'refused']
    assert lines[1].split() == ['crops', '-', 'large', '-', '-', '-', '1']
    assert lines[4].split() == ['crops', '1', 'small', '2.0', '2.0', '-', '-']


def test_other_series_are_ignored():
    assert not sums_of('ringseam_requests{route="r"} 4\nno series\n')
