"""Authenticated msgpack envelopes of the messages between processes.

An envelope carries the sender, its group, its configuration revision and its hybrid logical
timestamp. It is authenticated by a message authentication code (MAC): a BLAKE2 digest keyed
with the cluster key (RFC 7693).
"""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Any

import msgspec
from grpclib.encoding.base import CodecBase

from ringseam.errors import StrangerError

if TYPE_CHECKING:
    from ringseam.node import Node

_DIGEST_BYTES = 16


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """The header fields, the encoded body and the MAC."""

    sender: str
    address: str
    group: str
    revision: int
    wall: int
    counter: int
    body: bytes
    mac: bytes = b''


class ReceivedMessage(msgspec.Struct, frozen=True):
    """A decoded message with the header fields of its envelope."""

    sender: str
    address: str
    group: str
    revision: int
    body: Any


class AuthenticatedCodec(CodecBase):
    """Encode messages into authenticated envelopes, and verify and decode them."""

    __content_subtype__ = 'ringseam'

    def __init__(self, *, node: Node) -> None:
        """Use the identity and the cluster key of ``node``."""
        self.node = node
        self.body_decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}
        self.envelope_decoder = msgspec.msgpack.Decoder(Envelope)

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded envelope of ``message``."""
        node = self.node
        wall, counter = node.hybrid_clock.tick()
        body = msgspec.msgpack.encode(message)
        header = (node.name, node.address, node.group, node.revision, wall, counter)
        return msgspec.msgpack.encode(Envelope(*header, body, self.compute_mac(header, body)))

    def decode(self, raw: bytes, message_type: Any) -> ReceivedMessage:
        """Verify and decode an envelope.

        :raises StrangerError: when it is malformed, not authentic or from another group.
        """
        try:
            envelope = self.envelope_decoder.decode(raw)
            self._verify(envelope)
            body = self._body_decoder(message_type).decode(envelope.body)
        except msgspec.MsgspecError as error:
            raise StrangerError(f'malformed message: {error}') from None
        self.node.hybrid_clock.observe(envelope.wall, envelope.counter)
        self._update_node(envelope)
        return ReceivedMessage(
            envelope.sender,
            envelope.address,
            envelope.group,
            envelope.revision,
            body,
        )

    def compute_mac(self, header: tuple[Any, ...], body: bytes) -> bytes:
        """Return the MAC of header and body."""
        digest = hashlib.blake2b(body, key=self.node.secret, digest_size=_DIGEST_BYTES)
        digest.update(repr(header).encode())
        return digest.digest()

    def _verify(self, envelope: Envelope) -> None:
        header = (
            envelope.sender,
            envelope.address,
            envelope.group,
            envelope.revision,
            envelope.wall,
            envelope.counter,
        )
        if not hmac.compare_digest(envelope.mac, self.compute_mac(header, envelope.body)):
            raise StrangerError('MAC does not match: wrong cluster key')
        if envelope.group and self.node.group and envelope.group != self.node.group:
            raise StrangerError(f'message of another group: {envelope.group}')

    def _update_node(self, envelope: Envelope) -> None:
        if envelope.group and self.node.adopts_group and not self.node.group:
            self.node.group = envelope.group
        if envelope.revision > self.node.revision and self.node.on_newer_revision:
            self.node.on_newer_revision(envelope.revision, envelope.address)

    def _body_decoder(self, message_type: Any) -> msgspec.msgpack.Decoder[Any]:
        if message_type not in self.body_decoders:
            self.body_decoders[message_type] = msgspec.msgpack.Decoder(message_type)
        return self.body_decoders[message_type]
