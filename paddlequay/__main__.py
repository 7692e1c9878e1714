"""Start of the real edge router."""

import asyncio
import os
import sys

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from paddlequay.config import Config, ConfigError, read_config


class Front(TCPServer):
    """Takes clients' connections."""

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        await stream.read_until_close()


async def serve(config: Config) -> None:
    Front().listen(config.listen[1], config.listen[0])
    await asyncio.Event().wait()


def main() -> int:
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        print(f"paddlequay: {error}", file=sys.stderr)
        return 2
    asyncio.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
