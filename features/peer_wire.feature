Feature: Calls between routers
  Peers forward requests, ask for outcomes and recall tokens; each call is signed.

  Background:
    Given a peer router whose pipeline is a fake

  Scenario: A forwarded request arrives unchanged and its answer returns unchanged
    When a router forwards a request to the peer
    Then the peer's pipeline was given the same request
    And the router received the same events as the peer produced

  Scenario Outline: Every kind of event survives the wire
    When the event <name> is encoded and decoded
    Then it is equal to the event before

    Examples:
      | name                 |
      | chunk                |
      | service chunk        |
      | finished             |
      | failed, not run      |
      | failed, run          |
      | failed, unknown      |

  Scenario: Outcomes are asked and told
    Given the peer knows that "r-1" of "choir" has run
    When a router asks the peer for the outcomes of "r-1" and "r-2" of "choir"
    Then it learns that the first has run and that the second was never seen

  Scenario: Tokens are recalled
    When a router recalls 50 tokens of "choir" from the peer
    Then it learns that 50 were returned and 30 are still held

  Scenario Outline: A call that was not signed for it is refused before it begins
    When a forwarded request is sent <how>
    Then the peer answers 401
    And the peer's pipeline was given nothing

    Examples:
      | how                            |
      | without a signature            |
      | signed with another secret     |
      | with another body              |
      | with the signature of a recall |
      | signed an hour ago             |
      | with a malformed signature     |

  Scenario: A stranger can't make a router hold a body
    When a stranger sends only the head of a forwarded request
    Then the peer answered 401 before the body arrived

  Scenario: A recall that the key-value service stops is not a bug
    Given the peer can't reach the key-value service
    When a router recalls 50 tokens of "choir" from the peer and fails
    Then the recall fails, but not as not begun

  Scenario: A client with another secret learns that nothing was begun
    When a router with another secret forwards a request to the peer
    Then the forward fails as not begun

  Scenario: A peer that is not there has begun nothing
    When a router forwards a request to a port where nobody listens
    Then the forward fails as not begun

  Scenario: A peer that dies midway leaves the outcome open
    Given a peer whose connection breaks after 2 chunks
    When a router forwards a request over that connection
    Then the forward fails, but not as not begun, after 2 chunks

  Scenario: A peer that sends nonsense leaves the outcome open
    Given a peer that answers with a malformed line after 2 chunks
    When a router forwards a request over that connection
    Then the forward fails, but not as not begun, after 2 chunks

  Scenario: A peer whose pipeline ends early says that the outcome is unknown
    Given the peer's pipeline stops without a last event after 2 chunks
    When a router forwards a request to the peer
    Then the router received 2 chunks and an internal failure with an unknown outcome

  Scenario: A router that closes its forward cancels the request at the peer
    Given the peer's pipeline waits for ever after 1 chunk
    When a router closes its forward after the first chunk
    Then the peer's pipeline was cancelled

  Scenario: A silent answer carries signs of life
    Given the peer's pipeline waits for ever after 0 chunks
    When a connection to the peer stays open for two intervals of silence
    Then at least two empty lines arrived and no event
