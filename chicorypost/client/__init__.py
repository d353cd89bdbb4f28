"""Library for callers: keys, resends, deadlines and outcomes as values."""
