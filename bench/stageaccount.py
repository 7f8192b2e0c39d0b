"""What stage servers did on a played day, for whom, and how well it was foreseen."""

from __future__ import annotations

import collections
import statistics
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

#: How a request ended, by the event that says so.
_ENDS = {
    'request_refused': 'refused',
    'request_failed': 'failed',
    'request_left': 'client left',
}
#: Refusals of what had been let in begin so.
_IN_STAGES = 'stages:'


@dataclass(kw_only=True)
class ServiceAccount:
    """The calls of one stage service."""

    calls: int = 0
    #: Pieces of the calls that left while others waited.
    crowded: list[int] = field(default_factory=list)
    #: Calls by what became of the requests that they were for; one that was for several
    #: counts in equal parts.
    used: collections.Counter[str] = field(default_factory=collections.Counter)


@dataclass(kw_only=True)
class RouteAccount:
    """How long the stages of one route's requests took, milliseconds."""

    predicted: list[float] = field(default_factory=list)
    took: list[float] = field(default_factory=list)
    #: How long those waited that were let in and refused all the same.
    given_up: list[float] = field(default_factory=list)


def services_of(rows: list[dict[str, Any]]) -> dict[str, ServiceAccount]:
    """Return an account of each stage service, from the log of all gateways."""
    ends = dict(_ends(rows))
    found: dict[str, ServiceAccount] = {}
    for row in rows:
        if row.get('event_name') != 'pieces_sent':
            continue
        account = found.setdefault(row['service'], ServiceAccount())
        account.calls += 1
        if row['waiting']:
            account.crowded.append(row['pieces'])
        for request in row['requests']:
            account.used[ends.get(request, 'no end logged')] += 1 / len(row['requests'])
    return found


def routes_of(rows: list[dict[str, Any]]) -> dict[str, RouteAccount]:
    """Return an account of each route whose requests have stages."""
    found: dict[str, RouteAccount] = {}
    for row in rows:
        account = found.get(row.get('route', ''), RouteAccount())
        if row.get('event_name') == 'request_answered' and row['stages_ms']:
            account.predicted.append(row['predicted_ms'])
            account.took.append(row['stages_ms'])
        elif _is_given_up(row):
            account.given_up.append(row['waited_ms'])
        else:
            continue
        found[row['route']] = account
    return found


def lines_of(rows: list[dict[str, Any]]) -> list[str]:
    """Return the printed account."""
    return [
        *(_service_line(name, account) for name, account in sorted(services_of(rows).items())),
        *(_route_line(name, account) for name, account in sorted(routes_of(rows).items())),
    ]


def _ends(rows: list[dict[str, Any]]) -> Iterator[tuple[str, str]]:
    for row in rows:
        name = row.get('event_name', '')
        if name == 'request_answered':
            yield row['request'], 'late' if row['late'] else 'in time'
        elif name in _ENDS:
            in_stages = ' in stages' if _is_given_up(row) else ''
            yield row['request'], _ENDS[name] + in_stages


def _is_given_up(row: dict[str, Any]) -> bool:
    is_refused = row.get('event_name') == 'request_refused'
    return is_refused and row['detail'].startswith(_IN_STAGES)


def _service_line(name: str, account: ServiceAccount) -> str:
    used = ', '.join(f'{end} {calls:.1f}' for end, calls in account.used.most_common())
    return f'{name}: {account.calls} calls; crowded {_mean(account.crowded)} pieces; {used}'


def _route_line(name: str, account: RouteAccount) -> str:
    return (
        f'{name}: stages predicted {_mean(account.predicted)} ms, took {_mean(account.took)} ms; '
        f'{len(account.given_up)} given up after {_mean(account.given_up)} ms'
    )


def _mean(amounts: list[Any]) -> str:
    return f'{statistics.mean(amounts):.1f}' if amounts else '-'
