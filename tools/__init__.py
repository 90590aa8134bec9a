"""Tools for developers of this repository."""

import warnings

# eventlet prints this one message on import, whatever the user does with it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
