"""Library of the wheatslip load balancer, for its daemon and for embedding.

The modules at this level route, queue and retry requests. They use no clock, no I/O and no
global random generator.

- `config`: validation, signing and rollout of the operators' configuration
- `distribution`: distribution of configuration to the daemons
- `store`: the platform's object API
"""

__version__ = "0.1.0"
