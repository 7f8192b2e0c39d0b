"""What the actor of a backend server is told and asked."""

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
    """A dispatch with the configuration revision its sender holds."""

    dispatch: Dispatch
    revision: int
    on_text: Callable[[str], None] | None = None


@dataclass(frozen=True, kw_only=True)
class CancelDispatch:
    """Nobody waits for this dispatch any more."""

    dispatch: Dispatch


@dataclass(frozen=True, kw_only=True)
class ExecutionFinished:
    """A worker thread carried out an execution."""

    job: Job
    reply: StageReply


@dataclass(frozen=True, kw_only=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class PrefixesUpdated:
    """What the engine has cached, as far as its events are trusted."""

    prefixes: tuple[int, ...]


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Time passed; expire, forget and report."""


@dataclass(frozen=True, kw_only=True)
class GetAnnouncement:
    """Ask for the latest :class:`Announcement`, or None."""


@dataclass(frozen=True, kw_only=True)
class Drain:
    """A planned stop began: take nothing new."""
