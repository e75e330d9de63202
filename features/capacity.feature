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
