"""Stand-ins and tools of the second review: the platform's store, servers and callers.

They use the standard library only. `review/build-2.sh` checks that they can be built.
"""
