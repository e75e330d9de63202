Feature: Health of the key-value service as a router sees it

  Scenario: A call without an answer shows an outage, and the probe its end
    Given a router with a monitored KV
    When the monitored KV is out for 60 seconds and one read is made
    Then the router sees the KV out at the end of that read
    And the router sees the KV back within 16 seconds of the outage's end

  Scenario: The probe spares the service
    Given a router with a monitored KV
    When the monitored KV is out for 600 seconds and one read is made
    Then the KV probe has made between 60 and 104 reads

  Scenario: A conflict is an answer
    Given a router with a monitored KV
    When a monitored KV write conflicts after an outage has been seen
    Then the router sees the KV as available

  Scenario: A watch without an answer shows nothing
    Given a router with a monitored KV
    When only a watch of the monitored KV goes unanswered
    Then the router sees the KV as available

  Scenario: A timeout that began before a later answer shows nothing
    Given a router with a monitored KV
    When a monitored KV write is lost while a later read is answered
    Then the router sees the KV as available

  Scenario: Calls are counted by purpose and result
    Given a router with a monitored KV
    When monitored KV calls of several kinds are made
    Then the monitored KV has counted each by purpose, verb and result
