#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")"
exec timeout --preserve-status --kill-after=5 115 python3 -S case.py
