"""Route tables: matching of requests, and the cost of tables with thousands of routes.

Guards against a table whose construction takes quadratic time. A route document may have
thousands of routes of one host and change five times a second; reading it is the most expensive
task of a gateway, which has a third of a core.
"""

import time

from hypothesis import given
from hypothesis import strategies as st

from ringseam.routes import RequestKind, Route, RouteTable, Target

prefixes = st.lists(st.text('/ab', max_size=5), max_size=12, unique=True)


def route(prefix, host='h'):
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=RequestKind.idempotent,
        timeout_s=1,
        objective_s=1,
        targets=(Target(service='s'),),
    )


def linear_search(routes, path):
    """Match by a linear search over all routes."""
    matching = [candidate for candidate in routes if path.startswith(candidate.prefix)]
    return max(matching, key=lambda candidate: len(candidate.prefix), default=None)


@given(prefixes, st.text('/ab', max_size=8))
def test_longest_prefix_equals_that_of_a_linear_search(names, path):
    routes = [route(name) for name in names]
    table = RouteTable(routes=tuple(routes))
    assert table.match('h', path) == linear_search(routes, path)
    assert table.match('other', path) is None


def test_construction_takes_linear_time():
    """With 32 times as many routes, linear time grows by 32 and quadratic time by 1,024."""

    def construction_s(count):
        routes = tuple(route(f'/more-{number}/') for number in range(count))
        samples = []
        for _ in range(5):
            started = time.process_time()
            RouteTable(routes=routes)
            samples.append(time.process_time() - started)
        return min(samples)

    assert construction_s(32_000) < 150 * construction_s(1000)
