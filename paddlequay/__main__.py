"""Start of the program: the router, or with words on the command line one of its sub-commands."""

import os
import sys

from paddlequay.lifecycle import signals


def main() -> int:
    """Run the router, or a sub-command; the exit code."""
    if len(sys.argv) > 1:
        # Everything but the router itself: what that needs is not loaded where it only routes.
        try:
            from paddlequay.cli import main as cli

            return cli.main()
        except ModuleNotFoundError as error:
            if error.name is None or error.name.partition(".")[0] == __package__:
                raise  # ours: a fault, and nothing to install
            why = f"{error.name} is missing: pip install -r requirements-lab.txt"
            print(f"paddlequay: {why}", file=sys.stderr)
            return 2
    signals.block()
    # Tornado reads all of the system's certificates as it loads, a quarter of a start; there is no TLS here.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    # Only now: loading takes time, in which signals come as well.
    from paddlequay.programs.router import run_router

    return run_router()


if __name__ == "__main__":
    sys.exit(main())
