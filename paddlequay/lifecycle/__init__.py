"""The lifecycle of the process: signals, supervised tasks, overload protection and operators' overrides."""
