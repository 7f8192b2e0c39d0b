"""Commands to the replicated log, and what each of them results in."""

from __future__ import annotations

from typing import Union

from ringseam.ledger import (
    ClaimStage,
    ConcludeStage,
    LedgerResult,
    OpenRun,
    RecordStage,
)
from ringseam.messages import Tagged


class ApplyFile(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Replace a part's file when its revision is ``expect``."""

    part: str
    text: str
    expect: int
    apply_id: str


class TakeToken(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Take the next fencing token for orders to one backend server."""

    server: str


class CheckToken(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Ask which token is the newest for one backend server."""

    server: str


class PutDocument(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Put a document in force when its number is the highest so far."""

    number: int
    document: bytes


class RetireBackend(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Let a backend server that leaves never get new work again."""

    instance: str


class RecordVerdict(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Remember that a content ends servers, or with ``lifted`` that it may run again."""

    content: str
    service: str = ''
    account: str = ''
    #: The versions of the software that it ended.
    software: tuple[str, ...] = ()
    lifts: int = 0
    lifted: bool = False


class DrainZone(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Send nothing new to the backend servers of an availability zone, or again."""

    zone: str
    drained: bool


class ZoneDrained(Tagged, frozen=True, kw_only=True):
    """The zone is as ordered; ``change`` is the newest change of zones."""

    change: int


class VerdictRecorded(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The verdict is remembered, or forgotten."""

    content: str


class DocumentPut(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The newest number; another document may hold it."""

    newest: int


class BackendRetired(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The backend server is retired."""

    instance: str


class FileAccepted(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The file is revision ``revision`` of all files."""

    revision: int
    newest: int
    resent: bool = False


class FileConflict(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The part is at another revision than expected."""

    revision: int


class TokenTaken(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The newest token for that server."""

    token: int


Command = Union[
    ApplyFile,
    PutDocument,
    RetireBackend,
    RecordVerdict,
    DrainZone,
    TakeToken,
    CheckToken,
    OpenRun,
    ClaimStage,
    ConcludeStage,
    RecordStage,
]
CommandResult = Union[
    FileAccepted,
    FileConflict,
    DocumentPut,
    BackendRetired,
    VerdictRecorded,
    ZoneDrained,
    TokenTaken,
    LedgerResult,
]
