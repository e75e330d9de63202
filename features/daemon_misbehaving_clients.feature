Feature: Clients of a daemon that stay outside the limits
  What a client costs is bounded before its request is complete and while it does not read. No check depends on
  speed.

  Scenario Outline: Input without end uses up memory or never ends
    Given a daemon process on a machine of 150 MB
    When 16 clients send <what> without end to the daemon
    Then each of the daemon's clients was cut off
    And the daemon process lives within its memory and answers an ordinary request

    Examples:
      | what                        |
      | header lines                |
      | one header value            |
      | one header name             |
      | one target                  |
      | empty lines                 |
      | empty lines after a request |
      | trailer lines               |
      | one trailer value           |
      | one chunk extension         |
      | a body in small chunks      |

  Scenario Outline: Requests sent ahead use up memory
    Given a daemon process on a machine of 150 MB
    When 16 clients send many requests without headers ahead to the daemon and <read> the answers
    Then the daemon process lives within its memory and answers an ordinary request

    Examples:
      | read       |
      | don't read |
      | read       |

  Scenario Outline: Unfinished requests hold all connections
    Given a daemon process on a machine of 150 MB
    And the daemon process may have 200 descriptors open
    When 250 clients send <what> to the daemon and wait
    Then the daemon process lives within its memory and answers an ordinary request

    Examples:
      | what        |
      | half a head |
      | half a body |
      | nothing     |
