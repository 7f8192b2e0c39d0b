"""Decoding of JSON request bodies into typed messages, and encoding of replies."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import msgspec

_Message = TypeVar('_Message')


def decode_strictly(body: bytes, message_type: type[_Message]) -> _Message:
    """Decode a JSON body; wrong field types and duplicate fields are errors.

    So is what no message can carry: text that UTF-8 doesn't encode, such as half of a
    surrogate pair, and integers beyond 64 bits.

    :raises ValueError: if the body is not a valid message of this type.
    """
    try:
        message = msgspec.convert(
            json.loads(body, object_pairs_hook=_object_without_duplicates), message_type
        )
        msgspec.msgpack.encode(message)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    except (UnicodeEncodeError, OverflowError):
        raise ValueError('a text that UTF-8 can not hold, or an integer beyond 64 bits') from None
    except RecursionError:
        raise ValueError('nested too deeply') from None
    return message


def encode_json(body: Any) -> bytes:
    """Encode a reply as JSON."""
    return msgspec.json.encode(body)


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError('a field stands twice')
    return fields
