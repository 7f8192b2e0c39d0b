"""Settings files of a whole small system on loopback, for demo and tests."""

from __future__ import annotations

import contextlib
import hashlib
import random
import secrets
import socket
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ringseam.errors import RingseamError

LOOPBACK = '127.0.0.1'
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
# Each process begins elsewhere, so that layouts made at once don't meet.
_PORTS = iter(range(random.SystemRandom().randrange(_FIRST_PORT, _LAST_PORT - 2000), _LAST_PORT))


def free_address(host: str = LOOPBACK) -> str:
    """Return an address that is free now and was not returned before.

    Its port is below the range that the system takes for outgoing
    connections, so that none of those can take it before it is bound.
    """
    for port in _PORTS:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((host, port))
            return f'{host}:{port}'
    raise RingseamError('no free port is left')


def digest_of(token: str) -> str:
    """Return a token's SHA-256 as files hold it."""
    return hashlib.sha256(token.encode()).hexdigest()


@dataclass(frozen=True, kw_only=True)
class Planned:
    """One planned process."""

    name: str
    role: str
    settings: Path
    address: str
    http: str = ''
    data_dir: str = ''
    record_file: str = ''


@dataclass(kw_only=True)
class Layout:
    """Plan processes and write their settings below one folder."""

    folder: Path
    parts: tuple[str, ...] = ('demo',)
    planned: dict[str, Planned] = field(default_factory=dict)
    control: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        """Make the folder and the cluster key."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.key_file = self.folder / 'cluster.key'
        if not self.key_file.exists():
            self.key_file.write_text(secrets.token_hex(32), encoding='ascii')
        self.key_file.chmod(0o600)

    def operator_token(self, part: str) -> str:
        """Return the operator token of ``part`` in this layout."""
        return f'operator-of-{part}'

    def add_control(self, count: int, **own: Any) -> None:
        """Plan the control group."""
        self.control = tuple(free_address() for _ in range(count))
        bootstrap = ', '.join(
            f'{part}={digest_of(self.operator_token(part))}' for part in self.parts
        )
        for number, address in enumerate(self.control, start=1):
            name = f'control-{number}'
            data_dir = self.folder / name
            self.add(
                'control',
                name,
                address=address,
                data_dir=str(data_dir),
                bootstrap_part_digests=bootstrap,
                **own,
            )

    def add_entry(self, name: str, **own: Any) -> Planned:
        """Plan an entry."""
        return self.add('entry', name, http=free_address(), **own)

    def add_server(self, name: str, *, pool: str, zone: str = 'zone-1', **own: Any) -> Planned:
        """Plan a stand-in and the agent beside it."""
        agent_keys = own.pop('agent', {})
        agent = self.add('agent', name, http=free_address(), zone=zone, **agent_keys)
        record_file = self.folder / f'{name}.executions'
        self.add(
            'standin',
            f'{name}-server',
            http=free_address(),
            announce=agent.http,
            pool=pool,
            record_file=str(record_file),
            **own,
        )
        return agent

    def add(self, role: str, name: str, **own: Any) -> Planned:
        """Plan one process and write its settings."""
        process = {
            'name': name,
            'address': own.pop('address', None) or free_address(),
            'zone': own.pop('zone', 'zone-1'),
            'key_file': self.key_file,
            'control': ', '.join(self.control),
            'log_file': own.pop('log_file', self.folder / f'{name}.log'),
            'drain_ms': own.pop('drain_ms', 10_000),
        }
        path = self.folder / f'{name}.ini'
        path.write_text(
            _section('process', process) + _section(role, own),
            encoding='utf-8',
        )
        planned = Planned(
            name=name,
            role=role,
            settings=path,
            address=process['address'],
            http=own.get('http', ''),
            data_dir=own.get('data_dir', ''),
            record_file=own.get('record_file', ''),
        )
        self.planned[name] = planned
        return planned


def _section(name: str, keys: dict[str, Any]) -> str:
    lines = [f'{key} = {_shown(text)}' for key, text in keys.items()]
    return '\n'.join([f'[{name}]', *lines, '', ''])


def _shown(text: Any) -> Any:
    if isinstance(text, bool):
        return 'yes' if text else 'no'
    return text
