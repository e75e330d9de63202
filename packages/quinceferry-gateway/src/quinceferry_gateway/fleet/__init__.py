"""Knowledge that the gateways of a fleet share: live members, copies of the store's lists, readers.

Every gateway sends a digest to a few peers in each period, whatever the size of the fleet. A digest
states when its sender last saw each member, and how recent its copies of the store's lists are; a
peer whose copy is older fetches the newer one. Few gateways read the store, and the others do so
only when their copies grow old.
"""
