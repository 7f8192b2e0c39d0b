"""Commands of the replicated log, and their results."""

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
    """Replace the file of a part if its revision is ``expect``."""

    part: str
    text: str
    expect: int
    apply_id: str


class TakeToken(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Issue the next fencing token for orders to one backend server."""

    server: str


class CheckToken(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Read the newest fencing token of one backend server."""

    server: str


class PutDocument(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Accept a document if its number is the highest so far."""

    number: int
    document: bytes


class RetireBackend(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Retire a backend server that leaves, so it never gets requests again."""

    instance: str


class RecordVerdict(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Record that a content crashes servers, or, if ``lifted``, release it for a retest.

    Verdicts on prompt parts are recorded in the same way.
    """

    #: The id of the verdict.
    content: str
    #: Its keys, if it is on several parts.
    keys: tuple[str, ...] = ()
    #: Whether it applies to the requests of the account only.
    is_scoped: bool = False
    service: str = ''
    account: str = ''
    #: The software versions that it crashed.
    software: tuple[str, ...] = ()
    lifts: int = 0
    lifted: bool = False


class DrainZone(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Drain an availability zone, or restore it if ``drained`` is false."""

    zone: str
    drained: bool


class ZoneDrained(Tagged, frozen=True, kw_only=True):
    """The zone is in the requested state; ``change`` counts the changes of drained zones."""

    change: int


class VerdictRecorded(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The verdict was recorded or lifted."""

    content: str


class DocumentPut(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The newest document number, which may be that of another document."""

    newest: int


class BackendRetired(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The backend server is retired."""

    instance: str


class FileAccepted(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The file was accepted under the global revision ``revision``."""

    revision: int
    newest: int
    resent: bool = False


class FileConflict(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The part has another revision than expected."""

    revision: int


class TokenTaken(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The newest fencing token of the server."""

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
