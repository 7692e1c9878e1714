"""The decisions on the simulator's wire: one process that hosts many routers."""
