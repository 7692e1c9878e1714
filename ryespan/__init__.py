"""Decisions of a traffic router for a two-tier cache: `ryespan.control.Router` over `ryespan.interface`."""
