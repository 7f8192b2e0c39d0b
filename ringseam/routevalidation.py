"""Validation of route tables."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ringseam.errors import Finding, FindingsError
from ringseam.util.names import has_control_characters

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ringseam.routes import Account, Route, RouteTable, ServiceName


def validated(table: RouteTable, *, path: str) -> RouteTable:
    """Validate a table and return it without targets of weight 0.

    :param path: name of the source document, for findings.
    :raises FindingsError: with all findings, if the table is invalid.
    """
    errors = [
        *_table_errors(table),
        *_shared_key_errors(table.accounts),
        *_account_name_errors(table.accounts),
    ]
    if errors:
        raise FindingsError(
            [
                Finding(path=path, line=0, section=section, key='', message=message)
                for section, message in errors
            ],
        )
    return replace(table, routes=tuple(map(_without_idle_targets, table.routes)))


def _without_idle_targets(route: Route) -> Route:
    targets = tuple(target for target in route.targets if target.weight > 0)
    return replace(route, targets=targets)


def _table_errors(table: RouteTable) -> Iterator[tuple[str, str]]:
    seen: set[tuple[str, str]] = set()
    for route in table.routes:
        for error in _route_errors(route, table.services):
            yield route.name, error
        host_and_prefix = (route.host, route.prefix)
        if host_and_prefix in seen:
            yield route.name, 'another route has the same host and prefix'
        seen.add(host_and_prefix)


def _route_errors(route: Route, services: Collection[ServiceName]) -> Iterator[str]:
    services_used = [target.service for target in route.targets]
    services_used.extend(stage.service for stage in route.stages)
    for name in services_used:
        if name not in services:
            yield f'unknown service {name!r}'
    if sum(target.weight for target in route.targets) <= 0:
        yield 'the sum of the weights of all targets is 0'
    if route.timeout_s <= 0:
        yield 'timeout is 0'
    for number, stage in enumerate(route.stages):
        if any(not 0 <= earlier < number for earlier in stage.after):
            yield f'stage {number} depends on a stage that does not precede it'


def _shared_key_errors(accounts: tuple[Account, ...]) -> Iterator[tuple[str, str]]:
    owners: dict[str, str] = {}
    for account in accounts:
        for key in sorted(account.keys):
            if owners.setdefault(key, account.name) != account.name:
                yield account.name, 'shares a key with another account'


def _account_name_errors(accounts: tuple[Account, ...]) -> Iterator[tuple[str, str]]:
    """Yield the accounts whose names can't be sent to backend servers in a header."""
    for account in accounts:
        if has_control_characters(account.name):
            yield repr(account.name), 'the name has control characters'
