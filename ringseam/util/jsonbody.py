"""Decoding of JSON request bodies into typed messages, and encoding of replies."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import msgspec

_Message = TypeVar('_Message')


def decode_strictly(body: bytes, message_type: type[_Message]) -> _Message:
    """Decode a JSON body; wrong field types and duplicate fields are errors.

    :raises ValueError: if the body is not a valid message of this type.
    """
    try:
        return msgspec.convert(
            json.loads(body, object_pairs_hook=_object_without_duplicates), message_type
        )
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    except RecursionError:
        raise ValueError('nested too deeply') from None


def encode_json(body: Any) -> bytes:
    """Encode a reply as JSON."""
    return msgspec.json.encode(body)


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError('a field stands twice')
    return fields
