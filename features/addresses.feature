Feature: Address answers
  Callers are sent to few routers, near them, that will serve for as long as the answer holds.

  Scenario: A workspace is gathered on one router in each zone
    Given a fleet of 9 member routers
    And 20 fleet seconds pass
    Then every router gives the same answer to callers of a zone
    And the first address of each answer is in the caller's zone
    And the callers of one workspace are sent to 3 routers in all

  Scenario: Workspaces spread over the routers
    Given a fleet of 9 member routers
    And 20 fleet seconds pass
    Then of 600 workspaces each router is first for between 40 and 95

  Scenario: A router that leaves moves only its own workspaces
    Given a fleet of 9 member routers
    And 20 fleet seconds pass
    When answers for 600 workspaces are noted
    And router "vm-5" is killed and 20 fleet seconds pass
    Then only workspaces that were sent to "vm-5" are sent elsewhere

  Scenario: A router restarted on its VM gets its workspaces back
    Given a fleet of 9 member routers
    And 20 fleet seconds pass
    When answers for 600 workspaces are noted
    And router "vm-5" is killed and started again on the same address
    And 20 fleet seconds pass
    Then no workspace is sent elsewhere

  Scenario: Tickets name the first address
    Given a fleet of 3 member routers
    And 20 fleet seconds pass
    Then the ticket of an answer names the router at its first address

  Scenario: A router that is restarted is named by its newest incarnation
    Given a fleet of 3 member routers
    And 20 fleet seconds pass
    When router "vm-2" is killed and started again on the same address
    And 3 fleet seconds pass
    Then no answer names the earlier incarnation of "vm-2"

  Scenario: A router that announced its stop is named no more
    Given a fleet of 3 member routers
    And 20 fleet seconds pass
    When router "vm-2" begins to stop and 5 fleet seconds pass
    Then no router names "vm-2"
    And router "vm-2" still takes requests

  Scenario: A partitioned router is found by probes while leases tell nothing
    Given a fleet of 3 member routers
    And 20 fleet seconds pass
    And routers answer callers once a second
    When the key-value service goes out and router "vm-2" is cut off from its peers
    And 40 fleet seconds pass
    Then router "vm-1" does not name "vm-2"
    And router "vm-1" names "vm-3"
    When router "vm-2" is joined to its peers again and 60 fleet seconds pass
    Then router "vm-1" names "vm-2"

  Scenario: A router cut off from everyone still answers
    Given a fleet of 3 member routers
    And 20 fleet seconds pass
    And routers answer callers once a second
    When the key-value service goes out and router "vm-2" is cut off from its peers
    And 120 fleet seconds pass
    Then router "vm-2" names itself

  Scenario: A router that has never joined names nobody
    Given a fleet whose key-value service is out
    And 1 member router is added
    When 30 fleet seconds pass
    Then router "vm-1" answers without an address
