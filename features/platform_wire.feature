Feature: Platform services over HTTP
  The HTTP clients behave like the in-process stand-ins.

  Scenario: The key-value client keeps the store's contract over the wire
    When the same calls are made to a KV in process and to one over HTTP
    Then both KVs give the same results and errors
    And the KV results over HTTP hold a conflict, a lost lease, a lost answer and an outage

  Scenario: A key-value service that never answers
    When a KV over HTTP is silent for longer than its client waits
    Then the KV client over HTTP reports that no answer came

  Scenario: A key-value service that cannot be reached
    When a KV over HTTP has no listener
    Then the KV client over HTTP reports that no answer came

  Scenario: A key-value service whose answer cannot be read
    When a KV over HTTP answers a write with a page of text
    Then the KV client over HTTP reports that no answer came

  Scenario: The VM list over the wire
    When VMs change behind a VM list over HTTP
    Then the VM list over HTTP shows "vm-1 leaving, vm-2 live"
    And the VM list over HTTP is unavailable during its outage

  Scenario: The weight store over the wire
    When weights are fetched over HTTP
    Then the weight store over HTTP reports their size

  Scenario: The command that serves the platform
    When the platform command is started on a port of the system's choice
    Then the address it prints serves the VM it was given
