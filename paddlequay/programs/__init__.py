"""The long-running programs: the wiring of their parts, their start and their graceful shutdown."""
