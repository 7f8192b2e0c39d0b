"""Headers of client requests, of calls to backend servers and of their responses."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

from ringseam.calls import ClientRequest, PromptPart, ResponseMetadata, ServerLoad, parse_counts
from ringseam.clock import MS_PER_S
from ringseam.lifetimes import name_of
from ringseam.web.bodies import utf8_value

if TYPE_CHECKING:
    from ringseam.calls import CallHeaders
    from ringseam.web.bodies import Headers
    from ringseam.web.client import ResponseHead
    from ringseam.web.exchange import Request

# Identifies one attempt of a client; a retry of the same work gets a new id.
_ATTEMPT_ID = 'Attempt-Id'
_DEADLINE = 'Deadline-Ms'
_AUTHORIZATION = 'Authorization'
_BEARER = 'bearer'
_LAST_EVENT_ID = 'Last-Event-Id'
_RESUMES = 'Resumes'
# Number of prompt tokens and maximum number of output tokens, comma-separated.
_TOKENS = 'Token-Counts'
_PROMPT_PREFIX = 'Prompt-Prefix'
# The client's estimate of the output tokens: accurate in the median, with large errors
# for single requests.
_LENGTH_HINT = 'Length-Hint'
# Number of pieces of each stage, in stage order.
_PIECES = 'Pieces'
_PIECE_KEY = 'Piece-Key'
# Handles of the stage results that a model engine reads as input.
_INPUTS = 'Inputs'
_TENANT = 'Tenant'
_EXPECT_INSTANCE = 'Expect-Instance'
_EXPECT_VERSION = 'Expect-Version'
_INSTANCE = 'Instance-Id'
# 0 is the most urgent; engines assume 5 if the header is absent.
_REQUEST_URGENCY = 'Request-Urgency'
# Proves that a response comes from the backend server itself.
_SERVER_SEAL = 'Server-Seal'
_NOT_EXECUTED = 'Not-Executed'
# Running and queued requests, slots and, optionally, how slow work is in hundredths of the usual.
_WORKER_LOAD = 'Worker-Load'
_RETRY_AFTER = 'Retry-After'
# Rate limit in requests per second over all gateways; in force while the server sends it.
_SERVER_LIMIT = 'Server-Limit'
# "1" while a backend server is shutting down.
_SERVER_LEAVING = 'Server-Leaving'
_DIGITS = 18
#: Response headers that are internal and not passed on to clients.
INTERNAL_RESPONSE_HEADERS = frozenset(
    name.lower() for name in (_WORKER_LOAD, _NOT_EXECUTED, _INSTANCE)
)
#: Request headers that only the system may set: the account, the server, the scheduling
#: priority at an engine, the inputs, and everything that reserves engine memory (a lease,
#: a pin, a copy to create, fetch or resume from). Engines reject a request that names a
#: lease or copy that does not exist, and do so only after the stages have run.
RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        _TENANT,
        _EXPECT_INSTANCE,
        _REQUEST_URGENCY,
        _INPUTS,
        'Hold',
        'Pin-Ms',
        'Kv-Backup',
        'Kv-Fetch',
        'Kv-From',
    )
)
#: Client headers that are not forwarded to backend servers: the reserved ones, the deadline
#: (replaced by the remaining time) and the client's API key.
_NOT_FORWARDED = RESERVED_HEADERS | {_DEADLINE.lower(), _AUTHORIZATION.lower()}


def decode_request(request: Request) -> ClientRequest:
    """Decode a client request; malformed optional headers count as absent."""
    tokens = _parse_integers(request.header(_TOKENS))
    left_ms = _parse_integer(request.header(_DEADLINE))
    pieces = parse_counts(request.header(_PIECES))
    host = request.header('Host').lower()
    scheme, _, key = request.header(_AUTHORIZATION).partition(' ')
    return ClientRequest(
        attempt_id=request.header(_ATTEMPT_ID),
        host=host.rpartition(':')[0] if host.rpartition(':')[2].isdigit() else host,
        path=request.path,
        time_left_s=None if left_ms is None else left_ms / MS_PER_S,
        key=key.strip() if scheme.lower() == _BEARER else '',
        prompt_tokens=tokens[0] if tokens else 0,
        output_tokens=_parse_integer(request.header(_LENGTH_HINT)) or (*tokens, 0, 0)[1],
        prefix=_parse_prompt_parts(','.join(request.all_headers(_PROMPT_PREFIX))),
        pieces=pieces or (),
        has_invalid_pieces=pieces is None,
        piece_key=request.header(_PIECE_KEY),
        last_event=_parse_integer(request.header(_LAST_EVENT_ID)),
        resumes=request.header(_RESUMES).strip(),
        expects_version=bool(request.header(_EXPECT_VERSION)),
    )


def encode_call_headers(headers: Headers, call: CallHeaders) -> Headers:
    """Return the headers of a request as it is forwarded to a backend server."""
    renewed = set() if call.last_event is None else {_LAST_EVENT_ID.lower()}
    omitted = _NOT_FORWARDED | renewed
    forwarded = [(name, text) for name, text in headers if name.lower() not in omitted]
    forwarded.append((_DEADLINE, str(max(1, int(call.time_left_s * MS_PER_S)))))
    forwarded.append((_EXPECT_INSTANCE, name_of(call.instance)))
    if call.account:
        forwarded.append((_TENANT, utf8_value(call.account)))
    if call.urgency is not None:
        forwarded.append((_REQUEST_URGENCY, str(call.urgency)))
    if call.inputs:
        forwarded.append((_INPUTS, utf8_value(','.join(call.inputs))))
    if call.last_event is not None:
        forwarded.append((_LAST_EVENT_ID, str(call.last_event)))
    return forwarded


def find_reserved_headers(headers: Headers) -> list[str]:
    """Return the names of reserved headers that a client has sent."""
    return [name for name, _ in headers if name.lower() in RESERVED_HEADERS]


def stage_call_headers(instance: str) -> Headers:
    """Return the headers of a call that runs stage pieces."""
    headers = [('Host', 'stage'), ('Content-Type', 'application/json')]
    if instance:
        headers.append((_EXPECT_INSTANCE, name_of(instance)))
    return headers


def decode_response_metadata(head: ResponseHead) -> ResponseMetadata:
    """Decode the metadata in the headers of a backend server's response."""
    load_text = head.header(_WORKER_LOAD)
    load = ServerLoad.parse(load_text)
    limit = head.header(_SERVER_LIMIT)
    limit_per_s = _parse_amount(limit)
    return ResponseMetadata(
        attempt_id=head.header(_ATTEMPT_ID),
        authentic=bool(head.header(_SERVER_SEAL)),
        not_run=bool(head.header(_NOT_EXECUTED)) or head.status == HTTPStatus.MISDIRECTED_REQUEST,
        encoded=bool(head.header('Content-Encoding')),
        load=load,
        server=head.header(_INSTANCE).strip(),
        load_malformed=bool(load_text) and load is None,
        rate_limit_per_s=limit_per_s,
        rate_limit_malformed=bool(limit) and limit_per_s is None,
        pause_s=_parse_amount(head.header(_RETRY_AFTER))
        if head.status == HTTPStatus.SERVICE_UNAVAILABLE
        else None,
        leaving=head.header(_SERVER_LEAVING).strip() == '1',
    )


def retry_after_header(seconds: float) -> tuple[str, str]:
    """Return the header that tells a client when to retry."""
    return (_RETRY_AFTER, f'{seconds:.2f}')


def attempt_id_header(attempt_id: str) -> tuple[str, str]:
    """Return the header that names an attempt of a client, or a call to a stage server."""
    return (_ATTEMPT_ID, attempt_id)


def encode_request(request: ClientRequest) -> Headers:
    """Return the headers of a request as a client sends it."""
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
        headers.append((_PROMPT_PREFIX, ','.join(parts)))
    if request.pieces:
        headers += [(_PIECES, ','.join(map(str, request.pieces))), (_PIECE_KEY, request.piece_key)]
    if request.resumes:
        headers += [(_LAST_EVENT_ID, str(request.last_event)), (_RESUMES, request.resumes)]
    return headers


def notice_headers(*, per_s: float | None, leaving: bool, load: ServerLoad | None) -> Headers:
    """Return the headers with which a backend server announces limit, shutdown and load."""
    headers = [(_SERVER_LEAVING, '1')] if leaving else []
    if per_s is not None:
        headers.append((_SERVER_LIMIT, f'{per_s:g}'))
    if load is not None:
        headers.append((_WORKER_LOAD, ','.join(map(str, load.figures))))
    return headers


def not_run_header() -> tuple[str, str]:
    """Return the header that states that the backend server did not run the request."""
    return (_NOT_EXECUTED, '1')


def identity_headers(attempt_id: str) -> Headers:
    """Return the headers that prove that a response comes from the backend server itself."""
    return [(_ATTEMPT_ID, attempt_id), (_SERVER_SEAL, 'stand-in')]


def _parse_integer(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() and len(text) <= _DIGITS else None


def _parse_amount(text: str) -> float | None:
    """Return a finite, non-negative decimal number, or None if the text is not one."""
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if math.isfinite(amount) and amount >= 0 else None


def _parse_integers(text: str) -> tuple[int, ...]:
    parsed = [_parse_integer(piece.strip()) for piece in text.split(',')]
    return tuple(piece for piece in parsed if piece is not None)


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    pairs = [piece.strip().partition(':') for piece in text.split(',')]
    return tuple(
        PromptPart(name=name, tokens=_parse_integer(tokens) or 0)
        for name, _, tokens in pairs
        if name
    )
