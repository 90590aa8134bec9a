"""Tools for developers of this repository."""

import warnings

# eventlet emits this deprecation warning on every import, however it is used.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
