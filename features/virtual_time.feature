Feature: Virtual time
  Tests run on a clock that moves only when every task waits.

  Scenario: Ten minutes of waiting take no real time
    When a task on virtual time sleeps for 600 seconds
    Then the virtual clock shows 600 seconds
