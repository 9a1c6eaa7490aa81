Feature: No group of requests starves under overload

  # Guards against routes, teams and sizes of requests that are hardly ever
  # served because more important requests alone fill the engines. In strict
  # order by rank the lowest route of avisos-copas was served a quarter as
  # often as all. Deployments are drawn by seed: 2 to 5 routes with ranks,
  # prompts of 100 to 8,000 tokens, engines whose speeds differ five times, 1.2
  # to 4 times their capacity for 20 s, and a team that sends as much as all
  # others.
  Scenario Outline: A deployment drawn with seed <seed>
    Given a deployment that is drawn with seed <seed>
    When its callers send what its engines can't serve
    Then each route and each team is served half as often as all requests
    And the largest requests of a route are served half as often as all of it

    Examples:
      | seed |
      | 1 |
      | 2 |
      | 3 |
      | 4 |
      | 5 |
      | 6 |
      | 7 |
      | 8 |
      | 9 |
      | 10 |
      | 11 |
      | 12 |

  Scenario Outline: Which waiting requests are owed: <case>
    When groups with credits "<credits>" wait as "<waiting>" and all requests have <all> credits
    Then "<owed>" go before the others

    Examples:
      | case | credits | all | waiting | owed |
      | a group without credits | a:0 | -1 | a | - |
      | a whole credit | a:1 b:0.9 | -1 | b a | a |
      | no more than its credits | a:2.5 | 0 | a a a | a a |
      | any of its groups | a:1 t:0 | -1 | t+a t | t+a |
      | what all lack is owed to nobody | a:2 b:3 | 1.5 | a b | b |
