"""Start a role: ``python -m chicorypost.roles balancer`` or ``control``."""

import gc
import signal
import sys

if __name__ == "__main__":
    # The platform may say that the settings have changed before the loop listens for it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nothing made by imports becomes garbage; collecting it is a tenth of the start.
    gc.disable()
    from chicorypost.roles._start import main

    sys.exit(main(sys.argv[1:]))
