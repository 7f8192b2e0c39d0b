"""Calls that run stage pieces on backend servers and release their results."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Optional

import msgspec

from ringseam.clock import MS_PER_S

RUN_PATH = '/api/stage-run'
RELEASE_PATH = '/api/stage-free'


class PieceFault(enum.Enum):
    """Why a piece has no result."""

    late = 'late'
    input_lost = 'gone'
    no_capacity = 'room'
    error = 'error'


@dataclass(frozen=True, kw_only=True)
class PieceRequest:
    """A piece to run on the results ``inputs`` or, without any, on the client's input ``key``."""

    attempt_id: str
    stage: int
    piece: int
    time_left_s: float
    key: str = ''
    inputs: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PieceResult:
    """The handle of a piece's result, or the reason why there is none."""

    handle: str = ''
    fault: PieceFault | None = None


class _PieceRequest(msgspec.Struct, omit_defaults=True):
    id: str  # the client's ``Attempt-Id``
    stage: int
    piece: int
    left_ms: int
    key: str = ''
    inputs: tuple[str, ...] = ()


class _PieceRequests(msgspec.Struct):
    requests: list[_PieceRequest] = msgspec.field(name='items')


class _PieceResult(msgspec.Struct):
    handle: str = ''
    why: Optional[PieceFault] = None


class _PieceResults(msgspec.Struct):
    piece_results: list[_PieceResult] = msgspec.field(name='items')


class _Handles(msgspec.Struct):
    handles: list[str]


_RESULTS_DECODER = msgspec.json.Decoder(_PieceResults)
_REQUESTS_DECODER = msgspec.json.Decoder(_PieceRequests)


def encode_piece_requests(requests: list[PieceRequest]) -> bytes:
    """Encode the body of a call that runs pieces."""
    return msgspec.json.encode(
        _PieceRequests(
            requests=[
                _PieceRequest(
                    id=request.attempt_id,
                    stage=request.stage,
                    piece=request.piece,
                    left_ms=max(1, int(request.time_left_s * MS_PER_S)),
                    key=request.key,
                    inputs=request.inputs,
                )
                for request in requests
            ],
        ),
    )


def decode_results(body: bytes, expected: int | None = None) -> list[PieceResult]:
    """Decode the results of a call, in the order of its pieces.

    :raises msgspec.MsgspecError: if the body is invalid or has another number of results.
    """
    piece_results = _RESULTS_DECODER.decode(body).piece_results
    if expected is not None and len(piece_results) != expected:
        raise msgspec.ValidationError(f'{len(piece_results)} results for {expected} pieces')
    return [
        PieceResult(
            handle=result.handle,
            fault=None if result.handle else result.why or PieceFault.error,
        )
        for result in piece_results
    ]


def decode_piece_requests(body: bytes) -> list[PieceRequest]:
    """Decode the body of a call that runs pieces, on the backend server's side.

    :raises msgspec.MsgspecError: if the body is invalid.
    """
    return [
        PieceRequest(
            attempt_id=request.id,
            stage=request.stage,
            piece=request.piece,
            time_left_s=request.left_ms / MS_PER_S,
            key=request.key,
            inputs=request.inputs,
        )
        for request in _REQUESTS_DECODER.decode(body).requests
    ]


def encode_results(piece_results: list[PieceResult]) -> bytes:
    """Encode a backend server's response to a call that runs pieces."""
    return msgspec.json.encode(
        _PieceResults(
            piece_results=[
                _PieceResult(handle=result.handle, why=result.fault) for result in piece_results
            ],
        ),
    )


def encode_release(handles: list[str]) -> bytes:
    """Encode the body of a call that releases results."""
    return msgspec.json.encode(_Handles(handles=handles))


def server_address_of(handle: str) -> str:
    """Return the address of the backend server that holds the result."""
    return handle.partition('/')[0]
