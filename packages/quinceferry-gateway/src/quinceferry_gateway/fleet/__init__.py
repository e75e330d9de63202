"""What the fleet knows of itself: who lives, what the store holds, and who reads it.

Every gateway sends a digest to a few peers in each period, whatever the fleet's size. A digest says
when its sender last heard from each member, and how recent its copies of the store's lists are; a
peer whose copy is older fetches the newer one. Few gateways read the store, and the others do so
only when their copies grow old.
"""
