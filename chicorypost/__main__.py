"""Entry point of ``python -m chicorypost``."""

from chicorypost.commands import main

if __name__ == "__main__":
    main()
