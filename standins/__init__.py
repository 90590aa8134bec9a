"""Small programs that simulate the external systems that berylhaven works with."""

import warnings

# eventlet emits this warning on every import, regardless of how it is used.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
