"""Bounds of the numbers that messages from outside may hold."""

from __future__ import annotations

from typing import Annotated

import msgspec

#: The integers that the log and the messages between processes hold.
_MAX_INT = 2**63 - 1
#: Above any duration or size, and small enough to convert to other units.
_MAX_FLOAT = 2**53
BoundedInt = Annotated[int, msgspec.Meta(ge=-_MAX_INT, le=_MAX_INT)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0, le=_MAX_FLOAT)]
