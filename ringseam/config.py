"""Part files: the declarative configuration of each part, and all of them together.

A part file is validated completely and takes effect atomically. Unqualified names belong to the
file's own part; a pool of another part is written ``part/pool`` and must be granted in that
part's file.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ringseam.errors import Finding, FindingsError
from ringseam.ids import qualified_name
from ringseam.util.ini import IniDocument, Key, Kind, parse_ini, suggest_name

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ringseam.messages import AcceptedFile

_MINUTE_MS = 60_000
_DAY_MS = 86_400_000
_DIGEST = re.compile(r'^[0-9a-f]{64}$')

PRIORITIES = ('high', 'normal', 'low')

PART_KEYS = (
    Key(name='name', kind=Kind.qualified, required=True, text='name of this part'),
    Key(
        name='operator_token_sha256',
        kind=Kind.text,
        required=True,
        text='SHA-256 of the token required to apply this part again',
    ),
)
ACCOUNT_KEYS = (
    Key(name='token_sha256', kind=Kind.text, required=True, text='SHA-256 of the bearer token'),
    Key(name='rate_per_s', kind=Kind.number, default=1000, low=1, high=1_000_000),
    Key(name='concurrency', kind=Kind.number, default=256, low=1, high=1_000_000),
    Key(
        name='weight',
        kind=Kind.number,
        default=1,
        low=1,
        high=1000,
        text='relative share in fair queues',
    ),
)
POOL_KEYS = (
    Key(name='kind', kind=Kind.choice, default='service', choices=('service', 'engine')),
    Key(name='max_in_flight', kind=Kind.number, default=8, low=1, high=4096),
    Key(name='queue_ms', kind=Kind.number, default=2000, low=1, high=10 * _MINUTE_MS),
    Key(name='not_run_statuses', kind=Kind.numbers, default=(), low=400, high=599),
    Key(name='echoes_id', kind=Kind.boolean, default=False),
    Key(name='checks_fencing', kind=Kind.boolean, default=False),
    Key(name='models', kind=Kind.names, default=(), text='models that engines must load'),
    Key(name='drain', kind=Kind.names, default=(), text='agents that must get no new work'),
)
STAGE_KEYS = (
    Key(name='pool', kind=Kind.qualified, required=True),
    Key(name='path', kind=Kind.text, default='/', text='HTTP path at the backend server'),
    Key(name='repeatable', kind=Kind.boolean, default=True),
    Key(name='expected_ms', kind=Kind.number, default=20, low=1, high=10 * _MINUTE_MS),
    Key(name='model', kind=Kind.text, default=''),
    Key(name='max_tries', kind=Kind.number, default=3, low=1, high=16),
)
PIPELINE_KEYS = (
    Key(name='stages', kind=Kind.names, required=True, text='stages in execution order'),
    Key(name='accounts', kind=Kind.names, required=True, text='client accounts allowed to call'),
    Key(name='deadline_ms', kind=Kind.number, default=4000, low=1, high=60 * _MINUTE_MS),
    Key(name='priority', kind=Kind.choice, default='normal', choices=PRIORITIES),
    Key(name='recorded', kind=Kind.boolean, default=False),
    Key(name='retention_ms', kind=Kind.number, default=_DAY_MS, low=1000, high=30 * _DAY_MS),
    Key(name='max_body_bytes', kind=Kind.number, default=16 * 2**20, low=0, high=256 * 2**20),
)
GRANT_KEYS = (Key(name='pools', kind=Kind.names, required=True),)

SECTIONS: dict[str, tuple[Key, ...]] = {  # noqa: WPS407 - schema of part files
    'part': PART_KEYS,
    'account': ACCOUNT_KEYS,
    'pool': POOL_KEYS,
    'stage': STAGE_KEYS,
    'pipeline': PIPELINE_KEYS,
    'grant': GRANT_KEYS,
}


@dataclass(frozen=True, kw_only=True)
class Account:
    """A client account and its limits."""

    name: str
    token_sha256: str
    rate_per_s: int
    concurrency: int
    weight: int


@dataclass(frozen=True, kw_only=True)
class Pool:
    """A group of interchangeable backend servers."""

    name: str
    kind: str
    max_in_flight: int
    queue_ms: int
    not_run_statuses: tuple[int, ...]
    echoes_id: bool
    checks_fencing: bool
    models: tuple[str, ...]
    drain: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Stage:
    """A step of a pipeline, run by one pool."""

    name: str
    pool: str
    path: str
    repeatable: bool
    expected_ms: int
    model: str
    max_tries: int


@dataclass(frozen=True, kw_only=True)
class Pipeline:
    """An ordered list of stages with its allowed accounts and its deadline."""

    name: str
    stages: tuple[Stage, ...]
    accounts: tuple[str, ...]
    deadline_ms: int
    priority: str
    recorded: bool
    retention_ms: int
    max_body_bytes: int

    @property
    def needs_key(self) -> bool:
        """Return whether a caller must send an idempotency key."""
        return self.recorded or any(not stage.repeatable for stage in self.stages)


@dataclass(kw_only=True)
class PartFile:
    """The parsed content of a part file."""

    name: str
    operator_token_sha256: str
    accounts: dict[str, Account] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    stages: dict[str, Stage] = field(default_factory=dict)
    pipelines: dict[str, Pipeline] = field(default_factory=dict)
    grants: dict[str, tuple[str, ...]] = field(default_factory=dict)


def apply_id(text: str, expect: int) -> str:
    """Return the ID of an apply, derived from the file and the expected revision."""
    return hashlib.sha256(f'{expect}\n{text}'.encode()).hexdigest()


def read_part(text: str, *, path: str) -> PartFile:
    """Parse and validate a part file.

    :raises FindingsError: with all findings, if the file is invalid.
    """
    document = parse_ini(text, path=path)
    part = _PartReader(document=document).read()
    if document.findings:
        raise FindingsError(sorted(document.findings, key=_line_and_key))
    return part


def part_mismatch(path: str, named: str, applied: str) -> Finding:
    """Return the finding for a file that names a different part than the one applied."""
    return Finding(
        path=path,
        line=0,
        section='part',
        key='name',
        message=f'the file belongs to part "{named}", not to "{applied}"',
    )


def _line_and_key(finding: Finding) -> tuple[int, str]:
    return finding.line, finding.key


#: Typed values by section name, then by key.
Sections = dict[str, dict[str, Any]]


class _PartReader:
    """Builds a part from an INI document and collects findings in the document."""

    def __init__(self, *, document: IniDocument) -> None:
        self.document = document
        self.sections: dict[str, Sections] = {kind: {} for kind in SECTIONS}

    def read(self) -> PartFile:
        """Read all sections, then resolve the references between them."""
        for section in self.document.parser.sections():
            self._read_section(section)
        if '' not in self.sections['part']:
            self.document.add_finding('part', '', 'missing; each file must name its part')
        part = self.sections['part'].get('', {'name': '', 'operator_token_sha256': ''})
        self._check_digest('part', 'operator_token_sha256', part['operator_token_sha256'])
        name = part['name'] or ''
        if '/' in name:
            self.document.add_finding('part', 'name', 'the name of a part must not contain "/"')
        part_file = PartFile(name=name, operator_token_sha256=part['operator_token_sha256'] or '')
        self._read_accounts_pools_and_grants(part_file)
        self._read_stages(part_file)
        self._read_pipelines(part_file)
        return part_file

    def _read_section(self, section: str) -> None:
        kind, _, name = section.partition(' ')
        if kind not in SECTIONS:
            hint = suggest_name(kind, list(SECTIONS))
            self.document.add_finding(section, '', f'unknown section{hint}')
            return
        if (kind == 'part') == bool(name):
            expected = '[part]' if kind == 'part' else f'[{kind} NAME]'
            self.document.add_finding(section, '', f'must be written as {expected}')
        self.sections[kind][name.strip()] = self.document.read_section(section, SECTIONS[kind])

    def _check_digest(self, section: str, key: str, text: str | None) -> None:
        if text and not _DIGEST.match(text):
            self.document.add_finding(section, key, 'is not a SHA-256 in 64 hexadecimal digits')

    def _read_accounts_pools_and_grants(self, part: PartFile) -> None:
        for name, keys in self.sections['account'].items():
            self._check_digest(f'account {name}', 'token_sha256', keys['token_sha256'])
            full_name = qualified_name(part.name, name)
            part.accounts[full_name] = Account(name=full_name, **keys)
        for name, keys in self.sections['pool'].items():
            full_name = qualified_name(part.name, name)
            part.pools[full_name] = Pool(name=full_name, **keys)
        for name, keys in self.sections['grant'].items():
            part.grants[name] = tuple(
                qualified_name(part.name, pool) for pool in keys['pools'] or ()
            )
            self._check_known(f'grant {name}', 'pools', part.grants[name], part.pools)

    def _read_stages(self, part: PartFile) -> None:
        for name, keys in self.sections['stage'].items():
            full_name = qualified_name(part.name, name)
            pool = qualified_name(part.name, keys.pop('pool') or '')
            if pool.startswith(f'{part.name}/'):
                self._check_known(f'stage {name}', 'pool', (pool,), part.pools)
            part.stages[full_name] = Stage(name=full_name, pool=pool, **keys)

    def _read_pipelines(self, part: PartFile) -> None:
        for name, keys in self.sections['pipeline'].items():
            section = f'pipeline {name}'
            full_name = qualified_name(part.name, name)
            stages = tuple(qualified_name(part.name, stage) for stage in keys.pop('stages') or ())
            accounts = tuple(
                qualified_name(part.name, account) for account in keys.pop('accounts') or ()
            )
            self._check_known(section, 'stages', stages, part.stages)
            self._check_known(section, 'accounts', accounts, part.accounts)
            if len(set(stages)) < len(stages):
                self.document.add_finding(section, 'stages', 'a stage is listed more than once')
            part.pipelines[full_name] = Pipeline(
                name=full_name,
                stages=tuple(part.stages[stage] for stage in stages if stage in part.stages),
                accounts=accounts,
                **keys,
            )

    def _check_known(
        self,
        section: str,
        key: str,
        names: Iterable[str],
        known: dict[str, Any],
    ) -> None:
        for name in names:
            if name not in known:
                short_name = name.rpartition('/')[-1]
                hint = suggest_name(
                    short_name, [full_name.rpartition('/')[-1] for full_name in known]
                )
                self.document.add_finding(section, key, f'"{short_name}" is not in this file{hint}')


@dataclass(kw_only=True)
class Configuration:
    """All parts at one revision; treated as immutable and replaced as a whole."""

    revision: int = 0
    files: dict[str, AcceptedFile] = field(default_factory=dict)
    parts: dict[str, PartFile] = field(default_factory=dict)

    def updated(self, revision: int, files: Iterable[AcceptedFile]) -> Configuration:
        """Return a configuration that includes the newer ``files``.

        :raises FindingsError: if this version can't read a file; the caller keeps the old parts.
        """
        merged = dict(self.files)
        parts = dict(self.parts)
        for accepted in files:
            known = merged.get(accepted.part)
            if known is None or known.revision < accepted.revision:
                merged[accepted.part] = accepted
                parts[accepted.part] = read_part(accepted.text, path=accepted.part)
        return Configuration(
            revision=max(revision, self.revision),
            files=merged,
            parts=parts,
        )

    def pipeline(self, name: str) -> Pipeline | None:
        """Return a pipeline by its qualified name."""
        part = self.parts.get(name.partition('/')[0])
        return part.pipelines.get(name) if part else None

    def pool(self, name: str) -> Pool | None:
        """Return a pool by its qualified name."""
        part = self.parts.get(name.partition('/')[0])
        return part.pools.get(name) if part else None

    def account(self, name: str) -> Account | None:
        """Return a client account by its qualified name."""
        part = self.parts.get(name.partition('/')[0])
        return part.accounts.get(name) if part else None

    def may_use(self, user: str, pool: str) -> bool:
        """Return whether part ``user`` owns ``pool`` or has a grant for it."""
        owner = pool.partition('/')[0]
        if owner == user:
            return True
        part = self.parts.get(owner)
        return bool(part and pool in part.grants.get(user, ()))

    def account_by_token(self, token_sha256: str) -> Account | None:
        """Return the client account with this token digest."""
        for part in self.parts.values():
            for account in part.accounts.values():
                if account.token_sha256 == token_sha256:
                    return account
        return None

    def grant_findings(self, part: PartFile, *, path: str) -> list[Finding]:
        """Return a finding for each stage that uses a pool not granted to ``part``."""
        return [
            Finding(
                path=path,
                line=0,
                section=f'stage {stage.name.partition("/")[-1]}',
                key='pool',
                message=f'"{stage.pool}" is not granted to part {part.name}',
            )
            for stage in part.stages.values()
            if not self.may_use(part.name, stage.pool)
        ]
