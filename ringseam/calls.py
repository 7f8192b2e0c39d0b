"""Decoded metadata of client requests, calls to backend servers, and their responses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt that an engine may have cached."""

    name: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class ClientRequest:
    """The decoded headers of a client request."""

    attempt_id: str
    host: str
    path: str
    time_left_s: float | None
    key: str
    prompt_tokens: int = 0
    #: Tokens to be generated: the estimate of the client, otherwise the maximum.
    output_tokens: int = 0
    prefix: tuple[PromptPart, ...] = ()
    #: Number of pieces of each stage, and the key that identifies the pieces of this request.
    pieces: tuple[int, ...] = ()
    piece_key: str = ''
    last_event: int | None = None


@dataclass(frozen=True, kw_only=True)
class CallHeaders:
    """Headers that are added to the client's when a backend server is called."""

    instance: str
    time_left_s: float
    account: str = ''
    urgency: int | None = None
    inputs: tuple[str, ...] = ()
    last_event: int | None = None


@dataclass(frozen=True, kw_only=True)
class ServerLoad:
    """The load that a backend server reported."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """The decoded metadata headers of a backend server's response."""

    attempt_id: str
    authentic: bool
    not_run: bool
    encoded: bool
    load: ServerLoad | None
    #: Announced rate limit, requests per second from all gateways together; None: no limit.
    rate_limit_per_s: float | None = None
    #: Whether the server announces a rate limit that can't be parsed.
    rate_limit_malformed: bool = False
    #: How long the server wants no more requests from this gateway, seconds.
    pause_s: float | None = None
    #: Whether the server is leaving, so it accepts no new requests.
    leaving: bool = False
