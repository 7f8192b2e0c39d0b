"""The error hierarchy, and findings that are reported together."""

from __future__ import annotations

from dataclasses import dataclass


class RingseamError(Exception):
    """Base of all errors of this package."""


class StrangerError(RingseamError):
    """A message was not sealed with the cluster key."""


class UnreachableError(RingseamError):
    """No process answered in time."""


class NotSentError(UnreachableError):
    """No connection could be made, so not a byte of the call has left."""


class StorageError(RingseamError):
    """The data folder can't be written; the process must stop."""


class DamagedLogError(StorageError):
    """A record before the end of the log is damaged."""


class NotLeaderError(RingseamError):
    """A replica that doesn't lead was asked for a leader's work."""


@dataclass(frozen=True, kw_only=True)
class Finding:
    """One thing wrong with a file, with its place.

    ``line`` counts from 1; 0 stands for the file as a whole.
    """

    path: str
    line: int
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        """Return ``file:line: [section] key: message``."""
        place = f'{self.path}:{self.line}:'
        if self.section:
            place = f'{place} [{self.section}]'
        if self.key:
            place = f'{place} {self.key}:'
        return f'{place} {self.message}'


class FindingsError(RingseamError):
    """A file has findings; all of them are carried."""

    def __init__(self, findings: list[Finding]) -> None:
        """Keep ``findings`` and render them, a line each."""
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = findings
