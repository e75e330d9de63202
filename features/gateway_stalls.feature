Feature: Event loops that stall
  A step that never ends leaves no log line, since the event loop writes none. The stacks of all threads tell
  which step it is.

  # Guards against a hung gateway that does not tell where it hangs.
  Scenario: A step that holds the event loop is named while it still runs
    Given a loop monitor whose watchdog waits 0.3 seconds
    When a step holds the event loop for 1 second
    Then the dump names the step before it has ended

  # Guards against dumps that a loop which runs on time causes.
  Scenario: An event loop that runs on time writes no dump
    Given a loop monitor whose watchdog waits 2 seconds
    When the event loop runs for 3 seconds
    Then there is no dump
