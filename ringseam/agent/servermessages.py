"""Messages to the actor of a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.agent.queue import Job
    from ringseam.config import Configuration
    from ringseam.messages import Dispatch, StageReply


@dataclass(frozen=True, kw_only=True)
class SubmitDispatch:
    """Execute a dispatch; ``revision`` is the sender's configuration revision."""

    dispatch: Dispatch
    revision: int
    on_text: Callable[[str], None] | None = None


@dataclass(frozen=True, kw_only=True)
class CancelDispatch:
    """Cancel a dispatch whose caller no longer waits for it."""

    dispatch: Dispatch


@dataclass(frozen=True, kw_only=True)
class ExecutionFinished:
    """A worker thread has finished an execution."""

    job: Job
    reply: StageReply


@dataclass(frozen=True, kw_only=True)
class ConfigurationChanged:
    """A newer configuration has come into force."""

    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class PrefixesUpdated:
    """The engine's cached prefixes have been read; empty when they are unknown."""

    prefixes: tuple[int, ...]


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Drop expired executions and reply with the state to report."""


@dataclass(frozen=True, kw_only=True)
class GetAnnouncement:
    """Reply with the latest :class:`Announcement`, or None."""


@dataclass(frozen=True, kw_only=True)
class Drain:
    """Refuse new work because of a planned stop; reply when idle."""
