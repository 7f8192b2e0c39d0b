"""Headers of client requests and of calls to backend servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ringseam.calls import ClientRequest, PromptPart, ResponseMetadata, ServerLoad
from ringseam.clock import MS_PER_S
from ringseam.lifetimes import name_of

if TYPE_CHECKING:
    from ringseam.calls import CallHeaders
    from ringseam.web.bodies import Headers
    from ringseam.web.client import ResponseHead
    from ringseam.web.server import Request

# One client's try; a retry of the same work has another.
_ATTEMPT_ID = 'Attempt-Id'
_DEADLINE = 'Deadline-Ms'
_AUTHORIZATION = 'Authorization'
_BEARER = 'bearer '
_LAST_EVENT = 'Last-Event-Id'
# Prompt tokens and the most output tokens, separated by a comma.
_TOKENS = 'Token-Counts'
_PREFIX = 'Prompt-Prefix'
# The client's estimate of the output tokens; right at the median, often far off.
_LENGTH_HINT = 'Length-Hint'
# How many pieces each stage has, in the order of the stages.
_PIECES = 'Pieces'
_PIECE_KEY = 'Piece-Key'
# Handles of the results that a model engine needs.
_INPUTS = 'Inputs'
_TENANT = 'Tenant'
_EXPECT_INSTANCE = 'Expect-Instance'
# 0 is first; 5 applies when absent.
_URGENCY = 'Request-Urgency'
# Proof that an answer is a backend server's own.
_SEAL = 'Server-Seal'
_NOT_RUN = 'Not-Executed'
# Running requests, waiting requests and slots.
_LOAD = 'Worker-Load'
_RETRY_AFTER = 'Retry-After'
# Requests a second that a backend server takes from all gateways together, while it says so.
_LIMIT = 'Server-Limit'
# "1" while a backend server leaves.
_LEAVING = 'Server-Leaving'
_MISDIRECTED = 421
_UNAVAILABLE = 503
#: Headers of an answer that are for the system alone.
WITHHELD_FROM_CLIENTS = frozenset(name.lower() for name in (_LOAD, _NOT_RUN, 'Instance-Id'))
#: Headers that are the system's alone to set on a call: the account, the server,
#: the order at an engine, the inputs, and all that claims an engine's memory (a
#: lease, a pin, a copy to make, to fetch or to go on from). Engines refuse what
#: names a lease or a copy that doesn't exist, after the stages have been run.
SYSTEM_ONLY = frozenset(
    name.lower()
    for name in (
        _TENANT,
        _EXPECT_INSTANCE,
        _URGENCY,
        _INPUTS,
        'Hold',
        'Pin-Ms',
        'Kv-Backup',
        'Kv-Fetch',
        'Kv-From',
    )
)
#: What a call doesn't take over from the client's headers; the time left is set
#: anew, and the key stays here.
_REPLACED = SYSTEM_ONLY | {_DEADLINE.lower(), _AUTHORIZATION.lower()}


def decode_request(request: Request) -> ClientRequest:
    """Return what a client asks for; unreadable optional headers count as absent."""
    tokens = _numbers(request.header(_TOKENS))
    left_ms = _number(request.header(_DEADLINE))
    host = request.header('Host').lower()
    authorization = request.header(_AUTHORIZATION)
    key = ''
    if authorization.lower().startswith(_BEARER):
        key = authorization[len(_BEARER) :].strip()
    return ClientRequest(
        attempt_id=request.header(_ATTEMPT_ID),
        host=host.rpartition(':')[0] if host.rpartition(':')[2].isdigit() else host,
        path=request.path,
        time_left_s=None if left_ms is None else left_ms / MS_PER_S,
        key=key,
        prompt_tokens=tokens[0] if tokens else 0,
        output_tokens=_number(request.header(_LENGTH_HINT)) or (*tokens, 0, 0)[1],
        prefix=_parts(request.header(_PREFIX)),
        pieces=_numbers(request.header(_PIECES)),
        piece_key=request.header(_PIECE_KEY),
        last_event=_number(request.header(_LAST_EVENT)),
    )


def encode_call(headers: Headers, call: CallHeaders) -> Headers:
    """Return the headers of a request as a backend server gets them."""
    dropped = _REPLACED
    if call.last_event is not None:
        dropped = dropped | {_LAST_EVENT.lower()}
    passed = [(name, text) for name, text in headers if name.lower() not in dropped]
    passed.append((_DEADLINE, str(max(1, int(call.time_left_s * MS_PER_S)))))
    passed.append((_EXPECT_INSTANCE, name_of(call.instance)))
    if call.account:
        passed.append((_TENANT, call.account))
    if call.urgency is not None:
        passed.append((_URGENCY, str(call.urgency)))
    if call.inputs:
        passed.append((_INPUTS, ','.join(call.inputs)))
    if call.last_event is not None:
        passed.append((_LAST_EVENT, str(call.last_event)))
    return passed


def claimed_headers(headers: Headers) -> list[str]:
    """Return the headers that a client sent though only the system sets them."""
    return [name for name, _ in headers if name.lower() in SYSTEM_ONLY]


def stage_headers(instance: str) -> Headers:
    """Return the headers of a call for pieces of stages."""
    headers = [('Host', 'stage'), ('Content-Type', 'application/json')]
    if instance:
        headers.append((_EXPECT_INSTANCE, name_of(instance)))
    return headers


def decode_marks(head: ResponseHead) -> ResponseMetadata:
    """Return what an answer's headers say."""
    load = _numbers(head.header(_LOAD))
    limit = head.header(_LIMIT)
    limit_per_s = _amount(limit)
    return ResponseMetadata(
        attempt_id=head.header(_ATTEMPT_ID),
        authentic=bool(head.header(_SEAL)),
        not_run=bool(head.header(_NOT_RUN)) or head.status == _MISDIRECTED,
        encoded=bool(head.header('Content-Encoding')),
        load=ServerLoad(running=load[0], waiting=load[1], slots=load[2])
        if len(load) == 3
        else None,
        rate_limit_per_s=limit_per_s,
        rate_limit_malformed=bool(limit) and limit_per_s is None,
        pause_s=_amount(head.header(_RETRY_AFTER)) if head.status == _UNAVAILABLE else None,
        leaving=head.header(_LEAVING).strip() == '1',
    )


def retry_after(seconds: float) -> tuple[str, str]:
    """Return the header that tells a client when to come back."""
    return (_RETRY_AFTER, f'{seconds:.2f}')


def attempt_header(attempt_id: str) -> tuple[str, str]:
    """Return the header that names the request of an answer."""
    return (_ATTEMPT_ID, attempt_id)


def encode_request(request: ClientRequest) -> Headers:
    """Return the headers of a request as its client sends them."""
    headers = [
        ('Host', request.host),
        (_ATTEMPT_ID, request.attempt_id),
        (_AUTHORIZATION, f'Bearer {request.key}'),
    ]
    if request.time_left_s is not None:
        headers.append((_DEADLINE, str(int(request.time_left_s * MS_PER_S))))
    if request.prefix:
        parts = (f'{part.name}:{part.tokens}' for part in request.prefix)
        headers.append((_TOKENS, f'{request.prompt_tokens},{request.output_tokens}'))
        headers.append((_PREFIX, ','.join(parts)))
    if request.pieces:
        headers.append((_PIECES, ','.join(map(str, request.pieces))))
        headers.append((_PIECE_KEY, request.piece_key))
    return headers


def limit_header(per_s: float) -> tuple[str, str]:
    """Return the header by which a backend server names its limit."""
    return (_LIMIT, f'{per_s:g}')


def leaving_header() -> tuple[str, str]:
    """Return the header by which a backend server says that it leaves."""
    return (_LEAVING, '1')


def not_run_header() -> tuple[str, str]:
    """Return the header that says that a backend server did not run a request."""
    return (_NOT_RUN, '1')


def answer_marks(attempt_id: str) -> Headers:
    """Return the marks by which a backend server's answer is known as its own."""
    return [(_ATTEMPT_ID, attempt_id), (_SEAL, 'stand-in')]


def _number(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() else None


def _amount(text: str) -> float | None:
    """Return a decimal number that is finite and not negative, else None."""
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if math.isfinite(amount) and amount >= 0 else None


def _numbers(text: str) -> tuple[int, ...]:
    found = [_number(piece.strip()) for piece in text.split(',')]
    return tuple(piece for piece in found if piece is not None)


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for piece in text.split(','):
        name, _, tokens = piece.strip().partition(':')
        count = _number(tokens)
        if name and count is not None:
            parts.append(PromptPart(name=name, tokens=count))
    return tuple(parts)
