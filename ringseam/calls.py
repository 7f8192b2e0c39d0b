"""What clients ask for, and what is told to backend servers and by them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt that may be cached."""

    name: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class ClientRequest:
    """What a client asks for beside the body, decoded."""

    attempt_id: str
    host: str
    path: str
    time_left_s: float | None
    key: str
    prompt_tokens: int = 0
    #: Tokens to be generated: the client's estimate, else the most.
    output_tokens: int = 0
    prefix: tuple[PromptPart, ...] = ()
    #: Pieces of each stage, and what marks the request's own pieces.
    pieces: tuple[int, ...] = ()
    piece_key: str = ''
    last_event: int | None = None


@dataclass(frozen=True, kw_only=True)
class CallHeaders:
    """What the system tells a backend server beside the client's headers."""

    instance: str
    time_left_s: float
    account: str = ''
    urgency: int | None = None
    inputs: tuple[str, ...] = ()
    last_event: int | None = None


@dataclass(frozen=True, kw_only=True)
class ServerLoad:
    """A backend server's load as it told it."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """What a backend server's answer says of itself."""

    attempt_id: str
    authentic: bool
    not_run: bool
    encoded: bool
    load: ServerLoad | None
    #: Requests a second that the server takes from all gateways; None: it names no limit.
    limit_per_s: float | None = None
    #: Whether it names a limit that can't be read.
    limit_unreadable: bool = False
    #: For how long the server wants nothing more from this gateway, seconds.
    pause_s: float | None = None
    #: Whether it leaves: it takes no new work.
    leaving: bool = False
