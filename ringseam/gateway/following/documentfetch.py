"""Fetching a document of routes in parts, from whichever host has it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.documents import PART_BYTES, DocumentError, decode_change
from ringseam.errors import UnreachableError
from ringseam.following import DOCUMENT_PART, DocumentPart, PartRequest

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.rpc import CallClient

logger = logging.getLogger(__name__)

#: The slowest link that parts are expected over, bytes a second: a quarter of
#: one of 5 Mbit/s, which requests and their answers share.
_SLOWEST_BYTES_PER_S = 160_000.0
#: Besides its bytes, a part may take this long, seconds: a host that is busy
#: elections or with a change of its own answers within that.
_PART_OVERHEAD_S = 0.6


class DocumentFetcher:
    """Collect the parts of one change; what was received_bytes outlives a lost host."""

    def __init__(self, *, client: CallClient) -> None:
        """Begin with nothing received_bytes."""
        self.client = client
        #: Whether its owner waits for one; there is one at a time.
        self.is_running = False
        self.number = 0
        #: The document against which the change was made; 0: against nothing.
        self.base_number = 0
        self.received_bytes = b''

    async def run(
        self,
        hosts: Collection[str],
        *,
        number: int,
        held: tuple[int, bytes],
    ) -> bytes | None:
        """Return document ``number``, or None while no host gives all of it.

        :param held: number and bytes of the document in force here.
        """
        if self.number != number:
            self.number = number
            self._reset(held[0])
        for host in hosts:
            if await self._fetch_rest(host):
                return self._decode(held)
        return None

    def _reset(self, held: int) -> None:
        self.base_number = held
        self.received_bytes = b''

    async def _fetch_rest(self, host: str) -> bool:
        """Collect what is left at one host; False when it doesn't give it."""
        total = len(self.received_bytes) + 1
        while len(self.received_bytes) < total:
            part = await self._fetch_part(host)
            if part is None:
                return False
            if part.held != self.base_number:
                # It doesn't hold the document in force here, so it sends all.
                self._reset(part.held)
                continue
            total = part.total
            self.received_bytes += part.part
        return True

    async def _fetch_part(self, host: str) -> DocumentPart | None:
        request = PartRequest(
            number=self.number, held=self.base_number, offset=len(self.received_bytes)
        )
        limit_s = _PART_OVERHEAD_S + PART_BYTES / _SLOWEST_BYTES_PER_S
        try:
            received = await self.client.call(host, DOCUMENT_PART, request, timeout_s=limit_s)
        except UnreachableError as error:
            logger.debug('part of document %s: %s', self.number, error)
            return None
        reply = received.body.reply
        return reply if isinstance(reply, DocumentPart) else None

    def _decode(self, held: tuple[int, bytes]) -> bytes | None:
        """Return the document that the received_bytes parts make."""
        number, document = held
        base_matches = self.base_number in {0, number}
        received_bytes = self.received_bytes
        base = document if self.base_number else b''
        self._reset(0)
        if not base_matches:
            return None
        try:
            return decode_change(base, received_bytes)
        except DocumentError as error:
            logger.warning('document %s fetched again: %s', self.number, error)
            return None
