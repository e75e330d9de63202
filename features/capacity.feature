Feature: Capacity
  Costs that would grow with the fleet stay within what the key-value service admits, and the
  capacity page says what was measured.

  Scenario Outline: The journals of a larger fleet share one rate of commits
    Given the journal of one router among <routers>
    When it records <entries> requests, one every 10 milliseconds
    Then it has made at most <commits> commits

    Examples:
      | routers | entries | commits |
      | 1       | 200     | 42      |
      | 100     | 200     | 4       |
      | 400     | 200     | 2       |

  Scenario: A journal that has rested commits at once, however large the fleet
    Given the journal of one router among 400
    When it records 1 requests, one every 10 milliseconds
    Then the last request was durable within 20 milliseconds

  Scenario: Deletes of folded slots are spread over time
    Given the journal of one router among 9
    When 100 settled slots of it are folded
    Then no second of the fold has more than 20 deletes

  Scenario Outline: A larger fleet looks for the dead more rarely
    Given a router that sees <routers> members
    When it looks for the dead for 200 seconds
    Then it has read all incarnations between <least> and <most> times

    Examples:
      | routers | least | most |
      | 9       | 16    | 25   |
      | 100     | 16    | 25   |
      | 400     | 4     | 6    |

  Scenario: The page shows what the file says
    Given the capacity page and its file
    Then writing the page anew from the file changes nothing

  Scenario: A changed figure parts page and file
    Given the capacity page and its file
    When one figure of the file changes
    Then writing the page anew from the file changes it

  Scenario: The figures follow from the slopes and from the settings of the code
    Given the capacity page and its file
    Then deriving the figures anew gives those of the file
    And every slope of the file has at least 4 sizes

  Scenario: Every role has a verdict
    Given the capacity page and its file
    Then each row of the verdicts says "fits", "fits with work named" or "does not fit"

  Scenario: A line is fitted with its error
    When a line is fitted to the values 7, 12, 17 and 22 at the sizes 1, 2, 3 and 4
    Then it grows by 5 for each item from 2, with an error of 0
    When a line is fitted to the values 7, 12, 18 and 22 at the sizes 1, 2, 3 and 4
    Then its error is above 0

  Scenario: Three sizes make no line
    Then fitting a line to 3 sizes is refused

  Scenario: A fold reads no more as a journal grows older
    Given the journal of one router among 9
    When it is folded 5 times, with 100 settled slots before each fold
    Then the last fold has read at most as many bytes as the second
    And the segments hold 500 bills with their total

  Scenario: The scheduler of an idle router does not wake
    Given a scheduler that nothing waits for
    When 60 seconds pass for the scheduler
    Then it has looked at waiting requests 0 times

  Scenario: The scheduler wakes while a request waits
    Given a scheduler that nothing waits for
    When a request waits for 5 seconds of 60
    Then it has looked at waiting requests between 90 and 110 times
