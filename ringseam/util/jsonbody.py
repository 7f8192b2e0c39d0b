"""JSON bodies of calls, decoded into typed messages and encoded."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import msgspec

_Message = TypeVar('_Message')


def decode_strictly(body: bytes, message_type: type[_Message]) -> _Message:
    """Return a message whose every field has its type and stands once.

    :raises ValueError: when the body can't be read as that.
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
    """Return the JSON of a reply."""
    return msgspec.json.encode(body)


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError('a field stands twice')
    return fields
