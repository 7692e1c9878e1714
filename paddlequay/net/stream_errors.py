"""Frees what the error of a closed stream refers to."""

from tornado.iostream import IOStream


def release_error_frames(stream: IOStream) -> None:
    """Drops the traceback of the error that closed a stream, if there is one.

    The traceback refers to the frames of the write or read that failed and of its callers, with the messages
    that they were handling, and these frames refer to the stream. Such a cycle is freed only by the garbage
    collector, which does not know how large the messages are.
    """
    if stream.error is not None:
        stream.error.__traceback__ = None
