"""Every decision of a router for a two-tier cache; its events and actions stand in `routing/interface.py`.

The ordinary path stands in docs/design.md; all else here says what happens when that path fails.
"""

from paddlequay.policy.router import Router as Router
