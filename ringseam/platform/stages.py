"""Calls to backend servers that work on pieces of stages."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Optional

import msgspec

from ringseam.clock import MS_PER_S

RUN_PATH = '/api/stage-run'
FREE_PATH = '/api/stage-free'


class PieceFault(enum.Enum):
    """Why a piece has no result."""

    late = 'late'
    gone = 'gone'
    room = 'room'
    error = 'error'


@dataclass(frozen=True, kw_only=True)
class PieceOrder:
    """One piece to work on; ``inputs`` are handles, ``key`` marks own input."""

    attempt_id: str
    stage: int
    piece: int
    time_left_s: float
    key: str = ''
    inputs: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PieceResult:
    """A piece's handle, or why there is none."""

    handle: str = ''
    fault: PieceFault | None = None


class _Order(msgspec.Struct, omit_defaults=True):
    id: str  # the client's Attempt-Id
    stage: int
    piece: int
    left_ms: int
    key: str = ''
    inputs: tuple[str, ...] = ()


class _Orders(msgspec.Struct):
    orders: list[_Order] = msgspec.field(name='items')


class _Outcome(msgspec.Struct):
    handle: str = ''
    why: Optional[PieceFault] = None


class _Outcomes(msgspec.Struct):
    outcomes: list[_Outcome] = msgspec.field(name='items')


class _Handles(msgspec.Struct):
    handles: list[str]


_DECODER = msgspec.json.Decoder(_Outcomes)
_ORDERS = msgspec.json.Decoder(_Orders)


def encode_orders(orders: list[PieceOrder]) -> bytes:
    """Return the body of a call for pieces."""
    return msgspec.json.encode(
        _Orders(
            orders=[
                _Order(
                    id=order.attempt_id,
                    stage=order.stage,
                    piece=order.piece,
                    left_ms=max(1, int(order.time_left_s * MS_PER_S)),
                    key=order.key,
                    inputs=order.inputs,
                )
                for order in orders
            ],
        ),
    )


def decode_results(body: bytes, expected: int) -> list[PieceResult]:
    """Return the results in the order of the call.

    :raises msgspec.MsgspecError: when they can't be read or are not as many.
    """
    outcomes = _DECODER.decode(body).outcomes
    if len(outcomes) != expected:
        raise msgspec.ValidationError(f'{len(outcomes)} results for {expected} pieces')
    return [
        PieceResult(
            handle=outcome.handle,
            fault=None if outcome.handle else outcome.why or PieceFault.error,
        )
        for outcome in outcomes
    ]


def decode_orders(body: bytes) -> list[PieceOrder]:
    """Return what a call for pieces asks for, as a backend server sees it.

    :raises msgspec.MsgspecError: when it can't be read.
    """
    return [
        PieceOrder(
            attempt_id=order.id,
            stage=order.stage,
            piece=order.piece,
            time_left_s=order.left_ms / MS_PER_S,
            key=order.key,
            inputs=order.inputs,
        )
        for order in _ORDERS.decode(body).orders
    ]


def encode_results(made: list[PieceResult]) -> bytes:
    """Return the answer of a backend server to a call for pieces."""
    return msgspec.json.encode(
        _Outcomes(
            outcomes=[_Outcome(handle=result.handle, why=result.fault) for result in made],
        ),
    )


def encode_release(handles: list[str]) -> bytes:
    """Return the body of a call that gives results up."""
    return msgspec.json.encode(_Handles(handles=handles))


def maker_of(handle: str) -> str:
    """Return the address of the backend server that keeps a result."""
    return handle.partition('/')[0]
