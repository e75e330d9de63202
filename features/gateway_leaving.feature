Feature: Upstreams that left while a gateway could not reach the store
  Two gateways of seven were cut off from the store for eleven seconds, and sent an upstream requests
  twelve seconds after it had left. The store was never away: the five others took the upstream out at
  once. The two logged store.regained at 73.49 and 73.84 s, and upstream.removed 2.83 and 2.85 s later.
  They took their own loss of contact for an outage of the store, in which leases may have ended, and
  kept what was missing. The time began when they noticed the return, up to a second late, was looked
  at only with each reading of the list, and began anew with each single call that failed.

  Background:
    Given a gateway that lists upstreams a and b
    And calls to the store that fail take 0.8 seconds

  Scenario: An upstream leaves while this gateway alone is cut off from the store
    When this gateway alone is cut off for 11 seconds, and b leaves meanwhile
    And 1.5 seconds pass
    Then the gateway may use a only

  Scenario: An upstream leaves, and a single call to the store fails
    When b leaves as calls to the store fail for 0.9 seconds
    And 1.5 seconds pass
    Then the gateway may use a only

  Scenario: An upstream leaves while calls to the store fail now and then
    When b leaves, and calls fail for 0.9 seconds in each of 6 times 2.5 seconds
    Then the gateway may use a only

  Scenario: A lease ended in an outage of the store, and the upstream has not registered again yet
    When the store is away for 6 seconds, leases end, and only a is back
    And 1.5 seconds pass
    Then the gateway may use a and b

  Scenario: All leases ended in an outage of the store, and no upstream has registered again yet
    When the store is away for 6 seconds, leases end, and none is back
    And 1.5 seconds pass
    Then the gateway may use a and b

  Scenario: Only some leases ended in a short outage of the store
    When the store is away for 3 seconds, and of a and b only the lease of b ends
    And 1.5 seconds pass
    Then the gateway may use a and b

  Scenario: An upstream is not back soon after a short outage of the store
    When the store is away for 3 seconds, and of a and b only the lease of b ends
    And 2.7 seconds pass
    Then the gateway may use a only

  Scenario: An upstream is not back soon after an outage of the store
    When the store is away for 6 seconds, leases end, and only a is back
    And 2.7 seconds pass
    Then the gateway may use a only

  Scenario: An upstream is back soon after an outage of the store
    When the store is away for 6 seconds, leases end, and only a is back
    And 1.5 seconds pass
    And b registers again
    And 3 seconds pass
    Then the gateway may use a and b

  Scenario: An upstream is not back in the times that the store answers between outages
    When the store is away for 6 seconds, leases end, and only a is back
    And 1.5 seconds pass
    And the store is away for 6 seconds, leases end, and only a is back
    And 1.9 seconds pass
    Then the gateway may use a only

  Scenario: Upstreams are used on through a second outage that follows at once
    When the store is away for 6 seconds, leases end, and none is back
    And 1 seconds pass
    And the store is away for 6 seconds, leases end, and none is back
    Then the gateway may use a and b
