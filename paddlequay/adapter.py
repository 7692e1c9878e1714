"""Entry point of the simulator adapter: `python -m paddlequay.adapter`."""

import sys

from paddlequay.simulator.adapter import main

if __name__ == "__main__":
    sys.exit(main())
