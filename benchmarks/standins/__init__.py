"""Stand-ins for what surrounds the product: the fabric, upstreams and callers."""
