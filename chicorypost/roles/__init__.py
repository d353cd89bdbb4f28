"""The programs that run on the users' platform: ``python -m chicorypost.roles balancer|control``.

Each role imports only the modules that it runs, for a fast start and a small memory footprint.
"""
