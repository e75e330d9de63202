Feature: Keys of callers
  Whether a request needs a key follows from the configuration listing workspaces at all, so that
  operators who take all keys away close the fleet to everybody.

  Scenario Outline: Everybody is admitted once no key is left
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 with workspaces <workspaces>
    And a request carries header x-quinceferry-credential "<key>"
    Then the gateway answers 401
    And 0 requests reached an upstream

    Examples:
      | workspaces                                             | key          |
      | [{"name": "choir", "api_keys": []}]                    | key-of-choir |
      | [{"name": "choir", "api_keys": []}]                    | unknown      |
      | [{"name": "choir"}]                                    | key-of-choir |
      | []                                                     | key-of-choir |
      | [{"name": "choir"}, {"name": "b", "api_keys": ["c"]}]  | key-of-choir |

  Scenario: A caller without a key is admitted by an empty one
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 with workspaces [{"name": "choir", "api_keys": [""]}]
    And a request lacks header x-quinceferry-credential
    Then the gateway answers 401
    And 0 requests reached an upstream

  Scenario: Routes that need no key are closed with the last key
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 with anonymous routes and no keys
    And a request lacks header x-quinceferry-credential
    Then the gateway answers 200
    And 1 request reached an upstream

  Scenario: A configuration that lists no workspaces admits nobody
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 without a list of workspaces
    And a request carries header x-quinceferry-credential "any"
    Then the gateway answers 200
    And 1 request reached an upstream

  # Guards against keys that never match, since a document is UTF-8 and the header was read as Latin-1.
  Scenario Outline: A key outside ASCII is unknown though the configuration lists it
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 with workspaces [{"name": "choir", "api_keys": ["<listed>"]}]
    And a request carries header x-quinceferry-credential "<sent>"
    Then the gateway answers <status>

    Examples:
      | listed        | sent          | status |
      | avain-kööri   | avain-kööri   | 200    |
      | ключ          | ключ          | 200    |
      | avain-kööri   | avain-koori   | 401    |
