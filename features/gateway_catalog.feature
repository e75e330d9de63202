Feature: Upstreams that a gateway may use
  The list of upstreams is read again and again; after an outage of the store that ended their leases,
  entries come back late.

  Background:
    Given a gateway that lists upstreams a and b

  Scenario: An upstream that leaves the list is gone
    When the list holds a only
    Then the gateway may use a only

  Scenario: An upstream that is missing right after an outage may still be used
    When the store is away for 4 seconds, leases end, and only a is back
    And the list holds a only
    Then the gateway may use a and b

  Scenario: An upstream that is used though the list lacks it is noted with the time
    When the store is away for 4 seconds, leases end, and only a is back
    And the list holds a only
    And 0.5 seconds pass
    Then the gateway notes b as missing for 0.7 to 1.3 seconds

  Scenario: The metrics tell how old the list is
    When the store is lost for 3 seconds
    Then the metrics give an age of the list of 3 to 4 seconds

  Scenario: An upstream that is missing for long after an outage is gone
    When the store is away for 4 seconds, leases end, and only a is back
    And the list holds a only
    And 3 seconds pass
    And the list holds a only
    Then the gateway may use a only

  Scenario: An upstream that was back after an outage and goes then is gone at once
    When the store is away for 4 seconds, leases end, and none is back
    And the list holds a and b
    And 0.5 seconds pass
    And the list holds a only
    Then the gateway may use a only

  Scenario: An older list changes nothing
    When a list from before holds a only
    Then the gateway may use a and b

  Scenario: The log tells where each change of the upstreams comes from
    Given its log is kept
    When the store is away for 4 seconds, leases end, and only a is back
    And the list holds a only
    And 3 seconds pass
    Then the log has upstream.kept with origin store, and 2 to 2.5 seconds that remain
    And the log has upstream.removed with origin expiry
