"""Start a role: ``python -m chicorypost.roles balancer`` or ``control``."""

import gc
import signal
import sys

if __name__ == "__main__":
    # The platform may send SIGHUP before the event loop handles it, and the default action would
    # end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create no garbage, and collections during them take a tenth of the start-up time.
    gc.disable()
    from chicorypost.roles._start import main

    sys.exit(main(sys.argv[1:]))
