"""The decision bench: the real decision code against small fake backend servers on a virtual
clock. It fakes the backend interface only; it is no simulator of machines or of a network.
"""
