"""Route documents at the control hosts: accepting, reading and serving them in parts."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.commands import DocumentPut, PutDocument
from ringseam.control.replicamessages import NotLeading
from ringseam.documents import PART_BYTES, DocumentHistory
from ringseam.events import Event
from ringseam.followmessages import (
    DOCUMENT_PART,
    READ_DOCUMENT,
    SUBMIT,
    AcceptedDocument,
    DocumentPart,
    DocumentPartReply,
    DocumentReply,
    GroupNotReady,
    PartUnavailable,
)

if TYPE_CHECKING:
    from ringseam.control.follow import FollowService
    from ringseam.envelopes import ReceivedMessage
    from ringseam.followmessages import DocumentPartRequest, SubmitRequest
    from ringseam.messages import Redirect
    from ringseam.rpc import CallServer

logger = logging.getLogger(__name__)

#: Maximum wait for the confirmations of gateways before a change is acknowledged, seconds:
#: below the 2 s within which a change must be in force, and well below the 4 s after
#: which operators give up.
CONFIRM_TIMEOUT_S = 1.8
#: Maximum size of the documents that wait for their commit. While a disk stalls, operators
#: resend the same documents about once a second, to a host with 300 MB of memory.
_MAX_PENDING_BYTES = 16 * 2**20


class DocumentService:
    """Accept numbered documents, and serve the newest one."""

    def __init__(self, *, follow_service: FollowService) -> None:
        """Use the state, leadership and gateways of ``follow_service``."""
        self.follow_service = follow_service
        self.history = DocumentHistory()
        #: Total size of submitted documents that aren't committed yet.
        self.pending_bytes = 0

    def serve(self, server: CallServer) -> None:
        """Register the methods that gateways and other control hosts call."""
        server.add(DOCUMENT_PART, self.document_part)
        server.add(SUBMIT, self.submit_document)
        server.add(READ_DOCUMENT, self.read_document)

    async def document_part(self, received: ReceivedMessage) -> DocumentPartReply:
        """Return a part of an accepted document; any control host that has it can.

        Offsets count in the encoded delta from the document that the gateway has, or in
        the encoded whole document if that delta isn't available.
        """
        request: DocumentPartRequest = received.body
        base = request.base
        delta = self.history.delta(base, request.number)
        if delta is None:
            base = 0
            delta = self.history.delta(base, request.number)
        if delta is None:
            return DocumentPartReply(reply=PartUnavailable())
        part = delta[request.offset : request.offset + PART_BYTES]
        return DocumentPartReply(reply=DocumentPart(base=base, total=len(delta), part=part))

    async def submit_document(self, received: ReceivedMessage) -> DocumentReply:
        """Accept a validated document forwarded by another control host."""
        return DocumentReply(reply=await self.accept(received.body))

    async def accept(self, submit: SubmitRequest) -> AcceptedDocument | GroupNotReady | Redirect:
        """Commit a document; return once the gateways confirm it or the wait times out."""
        if not self.follow_service.leadership.can_serve:
            return self.follow_service.redirect
        if not self.follow_service.tolerates_losses:
            return GroupNotReady()
        size = len(submit.document)
        if self.pending_bytes and self.pending_bytes + size > _MAX_PENDING_BYTES:
            return GroupNotReady()
        started = self.follow_service.node.clock.now()
        self.pending_bytes += size
        try:
            number = await self._commit(submit)
        finally:
            self.pending_bytes -= size
        if number is None:
            return self.follow_service.redirect
        await self.follow_service.wait(
            lambda: self.follow_service.directory.is_confirmed(number=number), CONFIRM_TIMEOUT_S
        )
        self.follow_service.node.events.emit(
            logger,
            Event.document_accepted,
            number=submit.number,
            newest=number,
            document_bytes=size,
            took_ms=round((self.follow_service.node.clock.now() - started) * MS_PER_S),
            confirmed=self.follow_service.directory.is_confirmed(number=number),
        )
        return AcceptedDocument(number=number)

    async def read_document(self, received: ReceivedMessage) -> DocumentReply:
        """Return the newest document, after a quorum has confirmed the leader."""
        return DocumentReply(reply=await self.read_newest())

    async def read_newest(self) -> AcceptedDocument | Redirect:
        """Return the newest document, after a quorum has confirmed the leader."""
        if not self.follow_service.leadership.can_serve or isinstance(
            await self.follow_service.confirm_leadership(), NotLeading
        ):
            return self.follow_service.redirect
        # Lets this loop run the state updates that the actor scheduled before the barrier.
        await asyncio.sleep(0)
        return AcceptedDocument(
            number=self.follow_service.state.number, document=self.follow_service.state.document
        )

    async def _commit(self, submit: SubmitRequest) -> int | None:
        """Return the newest number, at least the submitted one; None if not leading.

        A document that isn't newer than the accepted one changes nothing: it needs no
        log entry, only a quorum's confirmation that this replica leads.
        """
        if submit.number <= self.follow_service.state.number:
            confirmed = await self.follow_service.confirm_leadership()
            return None if isinstance(confirmed, NotLeading) else self.follow_service.state.number
        outcome = await self.follow_service.submit(
            PutDocument(number=submit.number, document=submit.document)
        )
        return outcome.newest if isinstance(outcome, DocumentPut) else None
