"""Drivers of client connections: accepting, reading, answering and draining."""
