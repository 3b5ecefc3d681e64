"""The open requests of one client connection."""

from __future__ import annotations

from typing import Protocol

from ..dispatch.dispatcher import Dispatcher
from ..dispatch.requests import ActiveRequest, Client, ReceiveTimes
from ..dispatch.validation import InvalidRequestError
from .client_frames import MalformedFrameError
from .client_request import FIELD_CLIENT_REQUEST_ID, parse_request

# Requests that may be open on one connection at once; also the number of remembered request ids.
MAX_OPEN_REQUESTS = 32


class DispatcherHost(Protocol):
    """Has the dispatcher that requests are submitted to."""

    dispatcher: Dispatcher


class OpenRequests:
    """Submits requests and cancels them.

    Attributes:
        client: Receives the answers.
        by_stream: Unanswered requests by stream; the value is None while a request is being
            submitted.
        last_stream: The greatest stream so far.
        recent_ids: The latest request ids, the oldest first.
    """

    def __init__(self, host: DispatcherHost, client: Client) -> None:
        """Start without requests."""
        self.host = host
        self.client = client
        self.by_stream: dict[int, ActiveRequest | None] = {}
        self.last_stream = 0
        self.recent_ids: dict[str, None] = {}

    def check_stream(self, stream: int) -> None:
        """Check that a request's stream is greater than all before it, and record the stream.

        Raises:
            MalformedFrameError: The stream is not greater.
        """
        if stream <= self.last_stream:
            reason = f"stream {stream} is not new on this connection"
            raise MalformedFrameError(reason)
        self.last_stream = stream

    def submit(self, stream: int, payload: bytes, times: ReceiveTimes) -> None:
        """Submit a request that was received at these times.

        An invalid request is answered as failed.

        Raises:
            MalformedFrameError: The encoding of the request's fields is malformed.
        """
        try:
            parsed = parse_request(payload)
            self._check_new_request(parsed.client_request_id)
            self.by_stream[stream] = None
            request = self.host.dispatcher.submit(self.client, stream, parsed, times)
        except InvalidRequestError as error:
            self.host.dispatcher.log("client", f"invalid request: {error}")
            self.client.failed(stream, str(error))
            return
        if stream in self.by_stream:  # not if the request was answered at once
            self.by_stream[stream] = request

    def _check_new_request(self, request_id: str) -> None:
        """Check that the request id is new, and that one more request may be open.

        Without the check of the id, one frame that is sent hundreds of times would use up the quota
        of its tenant.
        """
        if request_id in self.recent_ids:
            reason = f"{FIELD_CLIENT_REQUEST_ID}: is not new on this connection"
            raise InvalidRequestError(reason)
        self.recent_ids[request_id] = None
        if len(self.recent_ids) > MAX_OPEN_REQUESTS:
            del self.recent_ids[next(iter(self.recent_ids))]
        if len(self.by_stream) >= MAX_OPEN_REQUESTS:
            reason = f"more than {MAX_OPEN_REQUESTS} open requests on one connection"
            raise InvalidRequestError(reason)

    def cancel(self, stream: int) -> None:
        """Cancel a request for its client, if the request is open."""
        request = self.by_stream.pop(stream, None)
        if request is not None:
            self.host.dispatcher.cancellations.abandon(request)

    def cancel_all(self) -> None:
        """Cancel all requests, since their client has disconnected."""
        requests = self.submitted()
        self.by_stream.clear()
        for request in requests:
            self.host.dispatcher.cancellations.abandon(request)

    def submitted(self) -> list[ActiveRequest]:
        """Return the open requests that the dispatcher has admitted."""
        return [request for request in self.by_stream.values() if request is not None]

    def being_submitted(self) -> list[int]:
        """Return the streams of the requests for which `Dispatcher.submit` has not returned."""
        return [stream for stream, request in self.by_stream.items() if request is None]

    def set_unreadable(self, unreadable: bool) -> None:
        """Record in the requests whether their client's cancellations are currently not read."""
        for request in self.submitted():
            request.cancellations_unread = unreadable
