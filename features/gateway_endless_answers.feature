Feature: Answers without end in small pieces
  What an answer costs depends on its pieces, and an upstream in trouble may send them without end. Everything
  else that its gateway has to do waits meanwhile.

  # Guards against one answer that keeps its gateway from answering anybody else.
  Scenario: An answer in many chunks holds the event loop
    Given an answer of 6000 chunks of 24 bytes, all of which have arrived
    When it is read while another task waits for its turns
    Then the other task has had a turn for each 64 chunks

  # Guards against an answer that takes all processor time, though it takes turns.
  Scenario: An answer in chunks of one byte takes all processor time
    Given an answer of 6000 chunks of 1 byte, all of which have arrived
    When it is read alone
    Then reading has taken 9 to 11 seconds of virtual time

  # Guards against the delay of answers and streams that are sound.
  Scenario Outline: A sound answer is slowed down
    Given an answer of <count> chunks of <size> bytes, all of which have arrived
    When it is read alone
    Then reading has taken 0 to 0 seconds of virtual time

    Examples:
      | count | size  |
      | 13000 | 24    |
      | 256   | 65536 |
      | 1000  | 1     |

  # Guards against heads without end, which no limit of one head ends.
  Scenario Outline: A head without end is read until the deadline
    Given a server that sends <what> without end
    When a request is sent to it
    Then the connection is given up for its head

    Examples:
      | what            |
      | interim answers |
      | header lines    |
