"""Authorization, validation and commit of operators' configuration files."""

from __future__ import annotations

import hashlib
import hmac
import logging
from typing import TYPE_CHECKING, Any

from ringseam import config
from ringseam.commands import ApplyFile, FileAccepted, FileConflict
from ringseam.control.replicamessages import (
    NotLeading,
)
from ringseam.errors import FindingsError
from ringseam.events import Event
from ringseam.messages import (
    ApplyAccepted,
    ApplyConflict,
    ApplyFindings,
    ApplyForbidden,
    FindingMessage,
    Redirect,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ringseam.errors import Finding
    from ringseam.holder import ConfigHolder
    from ringseam.messages import ApplyRequest
    from ringseam.node import Node

logger = logging.getLogger(__name__)


class ApplyService:
    """Validate configuration files and commit each one whole, or change nothing."""

    def __init__(
        self,
        *,
        node: Node,
        holder: ConfigHolder,
        bootstrap_digests: dict[str, str],
        was_accepted: Callable[[str, int, str], Awaitable[bool]],
        commit: Callable[[ApplyFile], Awaitable[Any]],
    ) -> None:
        """Start with the configuration of ``holder``.

        :param bootstrap_digests: digests of operator tokens, by part, for parts that
            have no file yet.
        :param was_accepted: returns whether an apply was accepted before.
        :param commit: commits a command to the replicated log.
        """
        self.node = node
        self.holder = holder
        self.bootstrap_digests = bootstrap_digests
        self.was_accepted = was_accepted
        self.commit = commit

    async def apply(self, request: ApplyRequest) -> Any:
        """Return the reply to a request; a quorum must have confirmed this leader."""
        if not self._is_operator(request):
            return ApplyForbidden()
        apply_id = config.apply_id(request.text, request.expect)
        # A resent request gets its first answer, even if it would be refused by now.
        if not await self.was_accepted(request.part, request.expect, apply_id):
            findings = self._check(request)
            if findings:
                return ApplyFindings(findings=findings)
        outcome = await self.commit(
            ApplyFile(
                part=request.part,
                text=request.text,
                expect=request.expect,
                apply_id=apply_id,
            ),
        )
        return self._reply(request, outcome)

    def _reply(self, request: ApplyRequest, outcome: Any) -> Any:
        if isinstance(outcome, FileAccepted):
            self.node.events.emit(
                logger,
                Event.apply_accepted,
                part=request.part,
                revision=outcome.revision,
                resent=outcome.resent,
            )
            return ApplyAccepted(
                revision=outcome.revision,
                newest=outcome.newest,
                resent=outcome.resent,
            )
        if isinstance(outcome, FileConflict):
            self.node.events.emit(
                logger,
                Event.apply_refused,
                part=request.part,
                expected=request.expect,
                revision=outcome.revision,
            )
            return ApplyConflict(revision=outcome.revision)
        return redirect_if_not_leading(outcome)

    def _is_operator(self, request: ApplyRequest) -> bool:
        part = self.holder.current.parts.get(request.part)
        expected = (
            part.operator_token_sha256 if part else self.bootstrap_digests.get(request.part, '')
        )
        presented = hashlib.sha256(request.operator_token.encode()).hexdigest()
        return bool(expected) and hmac.compare_digest(expected, presented)

    def _check(self, request: ApplyRequest) -> tuple[FindingMessage, ...]:
        try:
            part = config.read_part(request.text, path=request.path)
        except FindingsError as error:
            return _finding_lines(error.findings)
        findings = self.holder.current.grant_findings(part, path=request.path)
        if part.name != request.part:
            findings.append(config.part_mismatch(request.path, part.name, request.part))
        return _finding_lines(findings)


def redirect_if_not_leading(outcome: Any) -> Any:
    """Return an outcome, or a redirect to the leader in place of ``NotLeading``."""
    return Redirect(leader=outcome.leader) if isinstance(outcome, NotLeading) else outcome


def _finding_lines(findings: list[Finding]) -> tuple[FindingMessage, ...]:
    return tuple(
        FindingMessage(
            path=finding.path,
            line=finding.line,
            section=finding.section,
            key=finding.key,
            message=finding.message,
        )
        for finding in findings
    )
