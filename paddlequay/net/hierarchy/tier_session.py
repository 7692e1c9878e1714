"""One connection from an edge cache, a router or another node to a tier's node."""

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.hierarchy.errors import FillPathError, RequestFieldError
from paddlequay.hierarchy.fill_requests import FillRequest, ReplyReason, ReplyStatus
from paddlequay.net.delivery import Delivery, close_when_delivered
from paddlequay.net.socket_state import peek_unread
from paddlequay.net.stream_errors import release_error_frames
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol.cache_server import (
    CacheRequest,
    CacheRequestParser,
    CancelRequest,
    Message,
    StatusQuery,
    encode_answer,
)
from paddlequay.protocol.caches import Buffer, CacheProtocolError

LOGGER = logging.getLogger(__name__)

MAX_OPEN_REQUESTS = 4096  # on one connection, as routers and caches send all requests over few connections
# Answers without a body are written even if the limit on unsent bytes is reached, up to this many bytes:
# 256 bytes for each request that may be open.
MAX_EXCESS_BYTES = 256 * MAX_OPEN_REQUESTS
BAD_LINE_EVENT = "bad_asker_line"
BAD_PATH_EVENT = "bad_trail"
BAD_FIELD_EVENT = "bad_field"
SESSION_FAILED_EVENT = "asker_failed"


class SessionFront(Protocol):
    """The interface of the front that accepted a session."""

    limits: Limits
    counters: Counters

    def monotonic(self) -> float:
        """Returns the monotonic time in seconds."""
        ...

    def decode(self, message: CacheRequest, requester: "TierRequester") -> FillRequest:
        """Returns the fill request of a message; raises `RequestFieldError` or `FillPathError`."""
        ...

    def handle_request(self, request: FillRequest) -> None:
        """Passes a request to the node and carries out the actions that follow."""
        ...

    def cancel(self, request: FillRequest) -> None:
        """Tells the node that a requester no longer waits."""
        ...

    def on_session_closed(self, session: "TierSession") -> None:
        """Removes a closed session."""
        ...

    def closed_reason(self) -> str:
        """Returns why the node should get no new requests; empty if it may get them."""
        ...

    def load_report(self) -> str:
        """Returns the load report of the node."""
        ...


class TierSession:
    """A connection and the requests that are open on it."""

    def __init__(self, front: SessionFront, stream: IOStream) -> None:
        self.front = front
        self.stream = stream
        self.limits = front.limits
        self.parser = CacheRequestParser(self.limits.max_cache_line, self.limits.max_client_body)
        self.requests: dict[str, FillRequest] = {}  # open requests by id
        self.unsent_bytes = 0
        self.last_read_at = front.monotonic()
        self.delivery = Delivery(stream, front.monotonic)

    async def run(self) -> None:
        """Reads and handles messages until the connection ends."""
        self.stream.set_nodelay(True)
        try:
            await self._read_messages()
        except StreamClosedError:
            pass
        except CacheProtocolError as error:
            if self.front.counters.add_once("bad_asker_lines"):
                log.event(LOGGER, logging.WARNING, BAD_LINE_EVENT, why=str(error))
            await self._end()
        except Exception:  # a fault in one connection must not affect the others
            self.front.counters.add("asker_errors")
            LOGGER.exception(SESSION_FAILED_EVENT)
        finally:
            self.close()

    def close(self) -> None:
        """Closes the connection and cancels the requests that are open on it."""
        self.stream.close()
        release_error_frames(self.stream)
        self.front.on_session_closed(self)
        self._cancel_requests()

    @property
    def undelivered_bytes(self) -> int:
        """Returns the bytes that the peer has not acknowledged, in the stream or the kernel."""
        return self.unsent_bytes + self.delivery.unacknowledged_bytes

    @property
    def is_idle(self) -> bool:
        """Returns whether no request is open and the peer has received all answers."""
        return not self.requests and not self.undelivered_bytes

    @property
    def is_at_rest(self) -> bool:
        """Returns whether the session is idle and no received byte is unread."""
        return self.is_idle and self.stream.reading() and not peek_unread(self.stream.socket, 1)

    def has_stalled(self, max_stall_s: float) -> bool:
        """Returns whether answers are undelivered, none of which the peer has received for `max_stall_s`."""
        return bool(self.undelivered_bytes) and self.delivery.seconds_without_progress() > max_stall_s

    def is_receiving(self, max_stall_s: float) -> bool:
        """Returns whether answers are undelivered and the peer has received some within `max_stall_s`."""
        return bool(self.undelivered_bytes) and not self.has_stalled(max_stall_s)

    def has_capacity(self, body_size: int) -> bool:
        """Returns whether a body can be written within the limit on unsent bytes."""
        return self.unsent_bytes + body_size <= self.limits.max_client_unsent

    def write(self, id: str, status: str, fields: Mapping[str, str], body: Buffer = b"") -> None:
        """Writes an answer; before it writes a body, the caller checks `has_capacity`.

        Closes the connection if the peer has left more answers unread than it may have requests open.
        """
        if self.stream.closed():
            return
        answer = b"".join(encode_answer(id, status, fields, body))
        size = len(answer)
        if not self.has_capacity(size - MAX_EXCESS_BYTES):
            self.front.counters.add("slow_readers")
            self.stream.close()
            return
        if not self.undelivered_bytes:
            self.delivery.restart()
        self.unsent_bytes += size
        try:
            written = self.stream.write(answer)
        except StreamClosedError:
            return
        written.add_done_callback(lambda future: self._on_written(size, future))

    async def _end(self) -> None:
        """Ends the connection once the peer has received the answers; its open requests are cancelled."""
        self._cancel_requests()
        await close_when_delivered(self.stream, self.limits.console_linger, self.limits.client_stall_timeout)

    def _cancel_requests(self) -> None:
        for request in self.requests.values():
            self.front.cancel(request)
        self.requests.clear()

    async def _read_messages(self) -> None:
        while True:
            data = await self.stream.read_bytes(self.limits.read_size, partial=True)
            self.last_read_at = self.front.monotonic()
            for message in self.parser.feed(data):
                self._handle(message)
            await asyncio.sleep(0)

    def _handle(self, message: Message) -> None:
        match message:
            case CacheRequest():
                self._handle_request(message)
            case CancelRequest():
                request = self.requests.pop(message.id, None)
                if request is not None:
                    self.front.cancel(request)
            case StatusQuery():
                status = "SICK" if self.front.closed_reason() else "PONG"
                self.write(message.tag, status, {"use": self.front.load_report()})

    def _handle_request(self, message: CacheRequest) -> None:
        counters = self.front.counters
        if message.id in self.requests:
            # The requester could not distinguish the answers to two open requests with the same id.
            counters.add("rejected.id_open")
            self._fail(message, "ID_OPEN")
            return
        if len(self.requests) >= MAX_OPEN_REQUESTS:
            counters.add("rejected.too_many_open")
            rejected = ReplyStatus.REJECTED.value
            self.write(message.id, rejected, {"detail": ReplyReason.FILL_REJECTED.value})
            return
        try:
            request = self.front.decode(message, TierRequester(self, message.id))
        except FillPathError as error:
            counters.add("bad_trails")
            log.event(LOGGER, logging.WARNING, BAD_PATH_EVENT, why=str(error))
            self._fail(message, "BAD_HOPS")
            return
        except RequestFieldError as error:
            if counters.add_once("bad_fields"):
                log.event(LOGGER, logging.WARNING, BAD_FIELD_EVENT, why=str(error))
            self._fail(message, "BAD_FIELD")
            return
        self.requests[message.id] = request
        self.front.handle_request(request)

    def _fail(self, message: CacheRequest, detail: str) -> None:
        self.write(message.id, ReplyStatus.FAILED.value, {"detail": detail})

    def _on_written(self, size: int, future: "asyncio.Future[None]") -> None:
        self.unsent_bytes -= size
        if not future.cancelled():
            future.exception()  # marks the exception as retrieved; the read reports a closed stream


@dataclass(frozen=True, slots=True)
class TierRequester:
    """The destination of a reply: a session and the request's id in it."""

    session: TierSession
    id: str
