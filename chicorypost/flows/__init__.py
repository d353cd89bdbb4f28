"""Flow routing: slot tables, handoffs and the register of newer flows."""
