"""Documents of routes at the leader: accepted, read and handed out in parts."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.commands import DocumentPut, PutDocument
from ringseam.control.replicamessages import NotLeading
from ringseam.documents import PART_BYTES, DocumentHistory
from ringseam.events import Event
from ringseam.following import (
    DOCUMENT_PART,
    READ_DOCUMENT,
    SUBMIT,
    DocumentHeld,
    DocumentPart,
    DocumentReply,
    NotYet,
    PartLacking,
    PartReply,
)

if TYPE_CHECKING:
    from ringseam.control.follow import FollowService
    from ringseam.following import PartRequest, Submit
    from ringseam.messages import Redirect
    from ringseam.rpc import CallServer
    from ringseam.sealing import Received

logger = logging.getLogger(__name__)

#: An acknowledgement waits this long for gateways, seconds; below the two seconds in
#: which a change must be in force and well below the operator's patience.
CONFIRM_TIMEOUT_S = 1.8
#: Bytes of documents that may wait for their commit; while a disk stalls, operators
#: send the same ones again each second or so, to a host of 300 MB.
_MAX_PENDING_BYTES = 16 * 2**20


class DocumentService:
    """Accept documents by number, and serve the newest."""

    def __init__(self, *, follow: FollowService) -> None:
        """Tell the gateways that ``follow`` serves."""
        self.follow = follow
        self.history = DocumentHistory()
        #: Bytes of submitted documents that aren't committed yet.
        self.pending_bytes = 0

    def serve(self, server: CallServer) -> None:
        """Take the calls of gateways and of other control hosts."""
        server.add(DOCUMENT_PART, self.document_part)
        server.add(SUBMIT, self.submit_document)
        server.add(READ_DOCUMENT, self.read_document)

    async def document_part(self, received: Received) -> PartReply:
        """Return a part of an accepted document; any host that holds it may."""
        request: PartRequest = received.body
        base = request.held
        change = self.history.change(base, request.number)
        if change is None:
            base = 0
            change = self.history.change(base, request.number)
        if change is None:
            return PartReply(reply=PartLacking())
        part = change[request.offset : request.offset + PART_BYTES]
        return PartReply(reply=DocumentPart(held=base, total=len(change), part=part))

    async def submit_document(self, received: Received) -> DocumentReply:
        """Accept a checked document, and answer once it is in force."""
        return DocumentReply(reply=await self.accept(received.body))

    async def accept(self, submit: Submit) -> DocumentHeld | NotYet | Redirect:
        """Commit a document; answer once the gateways that are heard have it."""
        if not self.follow.leadership.can_serve:
            return self.follow.redirect
        if not self.follow.tolerates_losses:
            return NotYet()
        size = len(submit.document)
        if self.pending_bytes and self.pending_bytes + size > _MAX_PENDING_BYTES:
            return NotYet()
        started = self.follow.node.clock.now()
        self.pending_bytes += size
        try:
            number = await self._commit(submit)
        finally:
            self.pending_bytes -= size
        if number is None:
            return self.follow.redirect
        await self.follow.wait(
            lambda: self.follow.directory.is_confirmed(number=number), CONFIRM_TIMEOUT_S
        )
        self.follow.node.events.emit(
            logger,
            Event.document_accepted,
            number=submit.number,
            newest=number,
            document_bytes=size,
            took_ms=round((self.follow.node.clock.now() - started) * MS_PER_S),
            confirmed=self.follow.directory.is_confirmed(number=number),
        )
        return DocumentHeld(number=number)

    async def read_document(self, received: Received) -> DocumentReply:
        """Return the newest document, after a quorum has confirmed the leader."""
        return DocumentReply(reply=await self.read_newest())

    async def read_newest(self) -> DocumentHeld | Redirect:
        """Return the newest document, after a quorum has confirmed the leader."""
        if not self.follow.leadership.can_serve or isinstance(
            await self.follow.confirm_leadership(), NotLeading
        ):
            return self.follow.redirect
        # What the actor applied before the barrier is on its way to this loop.
        await asyncio.sleep(0)
        return DocumentHeld(number=self.follow.state.number, document=self.follow.state.document)

    async def _commit(self, submit: Submit) -> int | None:
        """Return the newest number, at least the submitted one; None: not leading.

        A document that isn't newer than the one in force changes nothing, so it needs
        a quorum's word that this host leads and no entry in the log.
        """
        if submit.number <= self.follow.state.number:
            confirmed = await self.follow.confirm_leadership()
            return None if isinstance(confirmed, NotLeading) else self.follow.state.number
        outcome = await self.follow.submit(
            PutDocument(number=submit.number, document=submit.document)
        )
        return outcome.newest if isinstance(outcome, DocumentPut) else None
