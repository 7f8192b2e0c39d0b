"""Stand-in backend servers with settable faults and a record of executions."""

from __future__ import annotations

import abc
import hashlib
import http
import random
import threading
import time
from collections import OrderedDict
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from ringseam.agent.adapters import ECHO_HEADER
from ringseam.util.http import HttpReply, HttpRequest, json_reply, problem

if TYPE_CHECKING:
    from collections.abc import Iterator

_PERCENT = 100
_MS = 1000
_US = 1_000_000
_PREFIX_CHARS = 64
_CACHE_ENTRIES = 256
_MAX_TOKENS = 64
_HANG_S = 30
_WORDS = ('lot', 'seal', 'label', 'pack', 'bay', 'cell', 'fault', 'clear')


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What a stand-in does wrong; set by ``POST /faults`` at any time."""

    latency_ms: float = 0
    token_us: float = 0
    batch: int = 8
    failure_percent: float = 0
    failure_status: int = 500
    truncate_percent: float = 0
    wrong_echo_percent: float = 0
    hang_percent: float = 0
    checks_fencing: bool = False

    @classmethod
    def from_settings(cls, own: dict[str, Any]) -> Faults:
        """Return the faults that a settings file asks for."""
        names = set(cls.__struct_fields__)
        return cls(**{name: own[name] for name in names & set(own)})


class Recorder:
    """One line per execution: its identity and its input's digest."""

    def __init__(self, *, path: str) -> None:
        """Append to ``path``, or record nothing when it is empty."""
        self.lock = threading.Lock()
        self.stream = Path(path).open('a', encoding='utf-8') if path else None  # noqa: SIM115
        self.count = 0

    def note(self, identity: str, body: bytes) -> None:
        """Record that an execution began."""
        digest = hashlib.sha256(body).hexdigest()
        with self.lock:
            self.count += 1
            if self.stream is not None:
                self.stream.write(f'{identity} {digest}\n')
                self.stream.flush()

    def close(self) -> None:
        """Close the file."""
        if self.stream is not None:
            self.stream.close()


class Backend(abc.ABC):
    """A stand-in; kinds register under ``kind``."""

    kinds: dict[str, type[Backend]] = {}  # noqa: RUF012, WPS407 - the registry
    kind = ''

    def __init_subclass__(cls) -> None:
        """Register the subclass."""
        super().__init_subclass__()
        cls.kinds[cls.kind] = cls

    def __init__(self, *, faults: Faults, recorder: Recorder, seed: int) -> None:
        """Serve with ``faults``."""
        self.faults = faults
        self.recorder = recorder
        self.random = random.Random(seed)  # noqa: S311 - fault dice
        self.lock = threading.Lock()
        self.active = 0
        self.busy_s: float = 0
        self.models: tuple[str, ...] = ()
        self.token = 0
        self.orders_refused = 0

    def respond(self, request: HttpRequest) -> HttpReply:
        """Answer one request."""
        if request.path == '/faults':
            return self._set_faults(request)
        if request.path == '/orders':
            return self._order(request)
        if request.path == '/stats':
            return json_reply(
                http.HTTPStatus.OK,
                {
                    'executions': self.recorder.count,
                    'active': self.active,
                    'busy_s': self.busy_s,
                    'token': self.token,
                    'models': list(self.models),
                    'orders_refused': self.orders_refused,
                },
            )
        return self._serve(request)

    @abc.abstractmethod
    def answer(self, request: HttpRequest) -> HttpReply:
        """Do the work of one request."""

    def chance(self, percent: float) -> bool:
        """Throw the fault dice."""
        with self.lock:
            return self.random.uniform(0, _PERCENT) < percent

    def echo_headers(self, request: HttpRequest) -> dict[str, str]:
        """Return the identity to echo, sometimes a wrong one."""
        echo = request.header(ECHO_HEADER.lower())
        if self.chance(self.faults.wrong_echo_percent):
            echo = f'other.{echo}'
        return {ECHO_HEADER: echo}

    def _serve(self, request: HttpRequest) -> HttpReply:
        self.recorder.note(request.header(ECHO_HEADER.lower()) or '-', request.body)
        with self.lock:
            self.active += 1
        began = time.monotonic()
        try:
            if self.chance(self.faults.hang_percent):
                time.sleep(_HANG_S)
            if self.chance(self.faults.failure_percent):
                return problem(self.faults.failure_status, 'a fault was asked for')
            return self._maybe_cut(self.answer(request))
        finally:
            with self.lock:
                self.active -= 1
                self.busy_s += time.monotonic() - began

    def _maybe_cut(self, reply: HttpReply) -> HttpReply:
        if reply.chunks is not None or not self.chance(self.faults.truncate_percent):
            return reply
        headers = {
            **reply.headers,
            'Content-Length': str(len(reply.body)),
        }
        return HttpReply(
            status=reply.status,
            content_type=reply.content_type,
            headers=headers,
            chunks=_cut_short(reply.body),
        )

    def _set_faults(self, request: HttpRequest) -> HttpReply:
        try:
            changes = msgspec.json.decode(request.body, type=dict[str, Any])
            self.faults = msgspec.convert(
                {**msgspec.structs.asdict(self.faults), **changes},
                Faults,
            )
        except msgspec.MsgspecError as error:
            return problem(http.HTTPStatus.UNPROCESSABLE_ENTITY, str(error))
        return json_reply(http.HTTPStatus.OK, msgspec.structs.asdict(self.faults))

    def _order(self, request: HttpRequest) -> HttpReply:
        """Take an order under a fencing token; one kind refuses old ones."""
        order = msgspec.json.decode(request.body, type=Order)
        with self.lock:
            if self.faults.checks_fencing and order.token < self.token:
                self.orders_refused += 1
                return problem(http.HTTPStatus.CONFLICT, 'an old fencing token')
            self.token = max(self.token, order.token)
            self.models = order.models
        return json_reply(http.HTTPStatus.OK, {'models': list(order.models)})


def _cut_short(body: bytes) -> Iterator[bytes]:
    """Yield half of ``body`` and break the connection."""
    yield body[: len(body) // 2]
    raise ConnectionAbortedError('a truncation was asked for')


class Order(msgspec.Struct, frozen=True):
    """An order to load models."""

    token: int
    models: tuple[str, ...]


class ServiceBackend(Backend):
    """A plain service: answers with its input, marked and digested."""

    kind = 'service'

    def answer(self, request: HttpRequest) -> HttpReply:
        """Wait for the latency and return the input."""
        time.sleep(self.faults.latency_ms / _MS)
        return HttpReply(
            status=http.HTTPStatus.OK,
            body=request.body,
            content_type=request.content_type,
            headers=self.echo_headers(request),
        )


class Completion(msgspec.Struct):
    """The part of a completion request that the stand-in reads."""

    prompt: str
    model: str = ''
    stream: bool = True
    max_tokens: int = _MAX_TOKENS


class EngineBackend(Backend):
    """A model engine: continuous batching and a bounded prefix cache.

    A token takes longer the more requests share the batch; requests beyond
    the batch wait. A prompt whose beginning is cached skips its prefill.
    """

    kind = 'engine'

    def __init__(self, *, faults: Faults, recorder: Recorder, seed: int) -> None:
        """Begin with an empty cache."""
        super().__init__(faults=faults, recorder=recorder, seed=seed)
        self.slots = threading.BoundedSemaphore(faults.batch)
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.hits = 0

    def answer(self, request: HttpRequest) -> HttpReply:
        """Stream a completion."""
        try:
            asked = msgspec.json.decode(request.body, type=Completion)
        except msgspec.MsgspecError as error:
            return problem(http.HTTPStatus.BAD_REQUEST, str(error))
        return HttpReply(
            status=http.HTTPStatus.OK,
            content_type='text/event-stream',
            headers=self.echo_headers(request),
            chunks=self.generate(asked),
        )

    def generate(self, asked: Completion) -> Iterator[bytes]:
        """Yield the events of one completion; closing it cancels."""
        digest = hashlib.sha256(asked.prompt.encode()).digest()
        count = 1 + digest[0] % asked.max_tokens
        cut = count // 2 if self.chance(self.faults.truncate_percent) else count
        with self.slots:
            time.sleep(self._prefill_s(asked.prompt))
            for place in range(cut):
                time.sleep(self._token_s())
                word = _WORDS[digest[place % len(digest)] % len(_WORDS)]
                chunk = {'choices': [{'text': f'{word} '}]}
                yield b'data: %s\n\n' % msgspec.json.encode(chunk)
            if cut == count:
                yield b'data: [DONE]\n\n'

    def _prefill_s(self, prompt: str) -> float:
        prefix = prompt[:_PREFIX_CHARS]
        with self.lock:
            known = prefix in self.cache
            self.hits += known
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
            if len(self.cache) > _CACHE_ENTRIES:
                self.cache.popitem(last=False)
        latency_s = self.faults.latency_ms / _MS
        return latency_s / 4 if known else latency_s

    def _token_s(self) -> float:
        return self.faults.token_us / _US * (1 + self.active / self.faults.batch)
