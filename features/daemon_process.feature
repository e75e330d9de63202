Feature: Life of the daemon's process
  The socket listens before the router joins and until its last request has ended.

  Background:
    Given a daemon around a fake application

  Scenario: Callers can ask before the router has joined
    When the daemon's application takes its time to start
    Then the daemon was healthy but not ready meanwhile

  Scenario Outline: A stop ends the application first, then the socket
    When the daemon is stopped by <cause> while a streamed answer is in progress
    Then the daemon still answered while its application stopped
    And the streamed answer was read to its end
    And the daemon's port is closed

    Examples:
      | cause                |
      | a SIGTERM            |
      | a SIGINT             |
      | two SIGTERMs         |
      | an operator's order  |

  Scenario: A stopping router asks callers to leave their connections
    When a caller asks a stopping router for an answer
    Then the caller reads the answer and is asked to close the connection
