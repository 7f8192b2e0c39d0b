"""Settings of a process: one INI file per process, typed and checked."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ringseam.drill import Drill
from ringseam.errors import FindingsError
from ringseam.node import Node
from ringseam.util.ini import Key, Kind, parse_ini

ROLES = ('control', 'entry', 'agent', 'standin')
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64

PROCESS_KEYS = (
    Key(name='name', kind=Kind.qualified, required=True, text='unique name of this process'),
    Key(
        name='address',
        kind=Kind.address,
        default='127.0.0.1:0',
        text='IP:PORT other processes call; port 0 takes a free one',
    ),
    Key(name='zone', kind=Kind.text, default='zone-1', text='availability zone'),
    Key(name='region', kind=Kind.text, default='region-1', text='region'),
    Key(
        name='key_file',
        kind=Kind.path,
        required=True,
        text='file with the cluster key, 16 bytes or more; the same for all processes',
    ),
    Key(
        name='control',
        kind=Kind.addresses,
        default=(),
        text='addresses of all control hosts; for control itself, of the first group',
    ),
    Key(name='log_level', kind=Kind.choice, default='INFO', choices=LOG_LEVELS),
    Key(name='log_file', kind=Kind.path, default='', text='empty: standard error'),
    Key(
        name='drill_file',
        kind=Kind.path,
        default='',
        text='for drills: addresses in this file are silently cut off',
    ),
    Key(
        name='drain_ms',
        kind=Kind.number,
        default=30_000,
        high=3_600_000,
        text='a planned stop waits this long for work in flight',
    ),
)
CONTROL_KEYS = (
    Key(name='data_dir', kind=Kind.path, required=True, text='the one data folder'),
    Key(name='heartbeat_ms', kind=Kind.number, default=100, low=10, high=5000),
    Key(name='election_ms', kind=Kind.number, default=600, low=50, high=60_000),
    Key(name='snapshot_entries', kind=Kind.number, default=5000, low=10, high=10_000_000),
    Key(name='group_commit', kind=Kind.boolean, default=True),
    Key(name='agent_lost_ms', kind=Kind.number, default=3000, low=100, high=600_000),
    Key(
        name='bootstrap_part_digests',
        kind=Kind.text,
        default='',
        text='PART=SHA256 of the token that may apply that part for the first time',
    ),
)
ENTRY_KEYS = (
    Key(name='http', kind=Kind.address, default='127.0.0.1:8080', text='where callers come'),
    Key(name='threads', kind=Kind.number, default=64, low=1, high=2048),
    Key(name='backlog', kind=Kind.number, default=1024, low=1, high=65_536),
    Key(name='max_body_bytes', kind=Kind.number, default=16 * 2**20, high=2**30),
    Key(name='poll_ms', kind=Kind.number, default=200, low=10, high=60_000),
    Key(name='routing', kind=Kind.choice, default='adaptive', choices=('adaptive', 'round-robin')),
    Key(name='admission', kind=Kind.choice, default='adaptive', choices=('adaptive', 'none')),
    Key(name='retries', kind=Kind.choice, default='budget', choices=('budget', 'blind')),
)
AGENT_KEYS = (
    Key(name='http', kind=Kind.address, default='127.0.0.1:0', text='where servers announce'),
    Key(name='report_ms', kind=Kind.number, default=500, low=10, high=60_000),
    Key(name='announce_lost_ms', kind=Kind.number, default=3000, low=50, high=600_000),
    Key(name='memory_s', kind=Kind.number, default=600, low=1, high=86_400),
    Key(name='threads', kind=Kind.number, default=64, low=1, high=2048),
    Key(name='queue', kind=Kind.choice, default='fair', choices=('fair', 'fifo')),
    Key(name='shed', kind=Kind.boolean, default=True, text='refuse what can not be in time'),
    Key(
        name='stale_grace_ms',
        kind=Kind.number,
        default=3000,
        high=600_000,
        text='dispatches under an older revision are refused after this',
    ),
)
STANDIN_KEYS = (
    Key(name='http', kind=Kind.address, default='127.0.0.1:0', text='where the stand-in serves'),
    Key(name='announce', kind=Kind.address, required=True, text='HTTP address of its agent'),
    Key(name='pool', kind=Kind.qualified, required=True),
    Key(name='kind', kind=Kind.choice, default='service', choices=('service', 'engine')),
    Key(name='models', kind=Kind.names, default=('base',)),
    Key(name='latency_ms', kind=Kind.number, default=5, high=600_000),
    Key(name='token_us', kind=Kind.number, default=200, high=10_000_000),
    Key(name='batch', kind=Kind.number, default=8, low=1, high=1024),
    Key(name='failure_percent', kind=Kind.number, default=0, high=100),
    Key(name='failure_status', kind=Kind.number, default=500, low=400, high=599),
    Key(name='truncate_percent', kind=Kind.number, default=0, high=100),
    Key(name='checks_fencing', kind=Kind.boolean, default=False),
    Key(name='seed', kind=Kind.number, default=1),
    Key(name='record_file', kind=Kind.path, default='', text='one line per execution'),
    Key(name='threads', kind=Kind.number, default=32, low=1, high=1024),
)
ROLE_KEYS: dict[str, tuple[Key, ...]] = {  # noqa: WPS407 - the grammar of settings
    'control': CONTROL_KEYS,
    'entry': ENTRY_KEYS,
    'agent': AGENT_KEYS,
    'standin': STANDIN_KEYS,
}


@dataclass(frozen=True, kw_only=True)
class Settings:
    """Typed settings of one process: common keys and the role's own."""

    role: str
    process: dict[str, Any]
    own: dict[str, Any]
    secret: bytes

    def node(self) -> Node:
        """Return the identity of the process."""
        return Node(
            name=self.process['name'],
            role=self.role,
            address=self.process['address'],
            secret=self.secret,
            zone=self.process['zone'],
            region=self.process['region'],
            drill=Drill(path=self.process['drill_file']),
        )

    def seconds(self, key: str) -> float:
        """Return an ``_ms`` key of the role in seconds."""
        return self.own[key] / 1000


def read_settings(role: str, text: str, *, path: str) -> Settings:
    """Read the settings of one process.

    :raises FindingsError: with every finding, when there is one.
    """
    document = parse_ini(text, path=path)
    for section in document.parser.sections():
        if section not in {'process', role}:
            document.report(section, '', f'unknown section; use [process] and [{role}]')
    process = document.read('process', PROCESS_KEYS)
    own = document.read(role, ROLE_KEYS[role])
    secret = b''
    if process['key_file']:
        try:
            secret = Path(process['key_file']).read_bytes().strip()[:MAX_SECRET_BYTES]
        except OSError as error:
            document.report('process', 'key_file', f'can not be read: {error.strerror}')
        else:
            if len(secret) < MIN_SECRET_BYTES:
                document.report('process', 'key_file', 'holds fewer than 16 bytes')
    if document.findings:
        raise FindingsError(document.findings)
    return Settings(role=role, process=process, own=own, secret=secret)


def default_file(role: str) -> str:
    """Return a commented settings file of ``role`` with the defaults."""
    lines = [f'# Settings of one {role} process of ringseam.', '', '[process]']
    lines.extend(_commented(PROCESS_KEYS))
    lines.extend(['', f'[{role}]'])
    lines.extend(_commented(ROLE_KEYS[role]))
    lines.append('')
    return '\n'.join(lines)


def _commented(keys: tuple[Key, ...]) -> list[str]:
    lines: list[str] = []
    for key in keys:
        kind = ', '.join(key.choices) if key.choices else key.kind.value
        note = f'{key.text} ({kind})' if key.text else kind
        lines.append(f'# {key.name}: {note}')
        if key.required:
            lines.append(f'{key.name} =')
        else:
            lines.append(f'# {key.name} = {_shown(key.default)}')
    return lines


def _shown(default: Any) -> str:
    if isinstance(default, bool):
        return 'yes' if default else 'no'
    if isinstance(default, tuple):
        return ', '.join(str(piece) for piece in default)
    return str(default)
