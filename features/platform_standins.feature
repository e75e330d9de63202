Feature: Stand-ins for the VM list and the weight store

  Scenario: The VM list shows a new VM late
    Given a stand-in VM list that lags 30 seconds
    When VM "vm-2" is added to the stand-in VM list
    Then 29 seconds later the VM list shows "vm-1 live"
    And 31 seconds later the VM list shows "vm-1 live, vm-2 live"

  Scenario: The VM list shows a leaving VM late
    Given a stand-in VM list that lags 30 seconds
    When VM "vm-1" is leaving in the stand-in VM list
    Then 29 seconds later the VM list shows "vm-1 live"
    And 31 seconds later the VM list shows "vm-1 leaving"

  Scenario: The VM list shows a removed VM for a while
    Given a stand-in VM list that lags 30 seconds
    When VM "vm-1" is removed from the stand-in VM list
    Then 29 seconds later the VM list shows "vm-1 live"
    And 31 seconds later the VM list shows ""

  Scenario: A client cut off from the VM list gets an error, others do not
    Given a stand-in VM list that lags 30 seconds
    When one client is cut off from the stand-in VM list
    Then that client's VM list is unavailable and another client's is not

  Scenario: Two clients share the rate of the weight store
    Given a stand-in weight store of 100000000 bytes a second
    When 2 clients fetch weights of 1000000000 bytes together
    Then the last weights arrive after 20 seconds
    And each weight fetch ends within 1 chunk of the others

  Scenario: A client with many fetches does not starve another
    Given a stand-in weight store of 100000000 bytes a second
    When a client with 5 weight fetches competes with a client with 1
    Then the single weight fetch ends within 1 chunk of twice its time alone

  Scenario: A fetch fails when the weight store goes out
    Given a stand-in weight store of 100000000 bytes a second
    When the weight store goes out in the middle of a fetch
    Then the weight fetch reports that the platform is unavailable
