"""Fetching of a routing document in parts, from any control host that has it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.documents import PART_BYTES, DocumentError, apply_delta
from ringseam.errors import UnreachableError
from ringseam.followmessages import DOCUMENT_PART, DocumentPart, DocumentPartRequest

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.rpc import CallClient

logger = logging.getLogger(__name__)

#: Lowest throughput that parts are expected at, bytes per second: a quarter of a link of 5
#: Mbit/s, which requests and responses share.
_SLOWEST_BYTES_PER_S = 160_000.0
#: Time that a part may take besides its transfer, seconds: a host that is busy with an election
#: or a change of its own answers within that time.
_PART_OVERHEAD_S = 0.6


class DocumentFetcher:
    """Fetch the parts of one document; received parts are kept when a host is lost."""

    def __init__(self, *, client: CallClient) -> None:
        """Start without any received parts."""
        self.client = client
        #: Whether a caller is fetching; there is at most one at a time.
        self.is_running = False
        self.number = 0
        #: The document that the parts are a difference to; 0: none.
        self.base_number = 0
        self.received_bytes = b''

    async def fetch(
        self,
        hosts: Collection[str],
        *,
        number: int,
        current: tuple[int, bytes],
    ) -> bytes | None:
        """Return document ``number``, or None while no host provides all of it.

        :param current: number and bytes of the document that this gateway uses.
        """
        if self.number != number:
            self.number = number
            self._reset(current[0])
        for host in hosts:
            if await self._fetch_rest(host):
                return self._decode(current)
        return None

    def _reset(self, base_number: int) -> None:
        self.base_number = base_number
        self.received_bytes = b''

    async def _fetch_rest(self, host: str) -> bool:
        """Fetch the remaining parts from one host; return whether it provided them all."""
        total = len(self.received_bytes) + 1
        while len(self.received_bytes) < total:
            part = await self._fetch_part(host)
            if part is None:
                return False
            if part.base != self.base_number:
                # The host lacks the document in use here, so it sends the new one in full.
                self._reset(part.base)
                continue
            total = part.total
            self.received_bytes += part.part
        return True

    async def _fetch_part(self, host: str) -> DocumentPart | None:
        request = DocumentPartRequest(
            number=self.number, base=self.base_number, offset=len(self.received_bytes)
        )
        limit_s = _PART_OVERHEAD_S + PART_BYTES / _SLOWEST_BYTES_PER_S
        try:
            received = await self.client.call(host, DOCUMENT_PART, request, timeout_s=limit_s)
        except UnreachableError as error:
            logger.debug('could not fetch a part of document %s: %s', self.number, error)
            return None
        reply = received.body.reply
        return reply if isinstance(reply, DocumentPart) else None

    def _decode(self, current: tuple[int, bytes]) -> bytes | None:
        """Return the document that the received parts encode."""
        number, document = current
        base_matches = self.base_number in {0, number}
        received_bytes = self.received_bytes
        base = document if self.base_number else b''
        self._reset(0)
        if not base_matches:
            return None
        try:
            return apply_delta(base, received_bytes)
        except DocumentError as error:
            logger.warning(
                'document %s could not be decoded and is fetched again: %s', self.number, error
            )
            return None
