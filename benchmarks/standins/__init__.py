"""Stand-ins for the environment of the load balancer: the fabric, upstreams and callers."""
