"""Entry point: runs the router, or a sub-command if the command line has arguments."""

import os
import sys

from paddlequay.lifecycle import signals


def main() -> int:
    """Runs the router or a sub-command; returns the exit code."""
    if len(sys.argv) > 1:
        # The sub-commands' libraries are imported here only, so that the router does not load them.
        try:
            from paddlequay.cli import main as cli

            return cli.main()
        except ModuleNotFoundError as error:
            if error.name is None or error.name.partition(".")[0] == __package__:
                raise  # a module of this package: a bug, not a library that can be installed
            why = f"{error.name} is missing: pip install -r requirements-lab.txt"
            print(f"paddlequay: {why}", file=sys.stderr)
            return 2
    signals.block()
    # Tornado reads all system certificates when it is imported, which takes a quarter of the start-up time.
    # The router uses no TLS, so these variables point to an empty file.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    # Imported only after the signals are blocked: the import takes time, and signals may arrive meanwhile.
    from paddlequay.programs.router import run_router

    return run_router()


if __name__ == "__main__":
    sys.exit(main())
