"""The long-running programs (router and tier node): construction, start-up and graceful shutdown."""
