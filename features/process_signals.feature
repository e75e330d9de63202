Feature: Signals of a process
  The time at which a signal arrived is known also where the event loop runs only seconds later.

  Scenario: A signal that arrives while the event loop is busy is noted when the loop runs again
    Given a signal watch
    When a signal arrives while the event loop is busy for 0.6 seconds
    Then it was noted before the event loop was free

  Scenario: A signal that arrived while signals were blocked counts as one that has just arrived
    Given signals that are blocked
    When a signal arrives, and a signal watch is opened after it
    And another signal arrives
    Then the first signal arrived after signals were blocked, and the other one when it was noted

  Scenario Outline: A stop at an uncertain time ends requests by the earliest end of the process
    Given a grace time of 8 seconds, and 2.5 seconds for callers to leave
    When a stop is requested between <earliest> s and <latest> s
    Then it accepts all requests until <left> s, and later ones that end by <safe> s
    And requests in progress end at <work_ends> s, and all else by <closed> s

    Examples:
      | earliest | latest | left | safe | work_ends | closed |
      | 10.0     | 10.0   | 12.5 | 17.2 | 17.2      | 17.7   |
      | 10.0     | 11.5   | 12.5 | 17.2 | 18.7      | 19.2   |
      | 2.0      | 15.0   | 4.5  | 9.2  | 22.2      | 22.7   |
