"""Where objects belong among members, for routers and tiers alike."""
