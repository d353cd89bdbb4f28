"""The programs that run on the users' platform: ``python -m chicorypost.roles balancer|control``.

Each imports only what it runs.
"""
