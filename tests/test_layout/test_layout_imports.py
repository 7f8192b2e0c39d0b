"""Imports run one way: from what drives to what is driven."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import ringseam

ROOT = Path(ringseam.__file__).parent
#: Packages of the gateway; each may import those after it, and modules of ``gateway`` itself
#: that all share.
GATEWAY = ('role', 'requests', 'stages', 'engines', 'following', 'requestcontext', 'priorities')
#: Roles don't know each other, but for what the first one of each pair may use.
ROLES = ('control', 'entry', 'gateway', 'agent', 'standin')
ALLOWED = {('gateway', 'control.founding')}


def imported(path):
    """Return the modules of ``ringseam`` that a file imports, also for types only."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and (node.module or '').startswith('ringseam.'):
            found.add(node.module.removeprefix('ringseam.'))
    return found


def layer_of(module):
    return module.removeprefix('gateway.').split('.')[0]


@pytest.mark.parametrize(
    'path', sorted((ROOT / 'gateway').rglob('*.py')), ids=lambda path: str(path.relative_to(ROOT))
)
def test_packages_of_the_gateway_import_downwards(path):
    if path.name == '__init__.py' and path.parent.name == 'gateway':
        return
    own = layer_of('.'.join(path.relative_to(ROOT / 'gateway').with_suffix('').parts))
    for module in imported(path):
        if module.startswith('gateway.'):
            assert GATEWAY.index(layer_of(module)) >= GATEWAY.index(own), module


@pytest.mark.parametrize('role', ROLES)
def test_roles_do_not_import_each_other(role):
    for path in (ROOT / role).rglob('*.py'):
        for module in imported(path):
            other = module.split('.')[0]
            if other in ROLES and other != role:
                assert (role, module) in ALLOWED, f'{path.name}: {module}'


def test_what_roles_share_knows_no_role():
    for path in ROOT.glob('*.py'):
        if path.name in {'__main__.py'}:
            continue
        for module in imported(path):
            assert module.split('.')[0] not in ROLES, f'{path.name}: {module}'
