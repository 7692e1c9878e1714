"""Every decision of a router for a two-tier cache. Its types, events and actions: `paddlequay/interface.py`.

The ordinary path stands in docs/design.md; all else here says what happens when that path fails."""

from paddlequay.policy.router import Router as Router
