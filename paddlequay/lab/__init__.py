"""Rehearsal on one machine: stand-ins, scripted worlds and experiments. Never imported by the router."""
