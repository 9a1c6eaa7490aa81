Feature: Membership, subsets and shares

  A member must not be dropped or added back because the list lags or a link
  is lost; no daemon may end with too few or too many connections; and the
  entries together must not exceed a team's limit.

  Scenario Outline: A member's state follows from the list and the links
    Given a membership after these events of agent "a1": <events>
    Then the membership has "a1" as <state>

    Examples:
      | events                                        | state   |
      | listed                                        | joining |
      | listed hello                                  | live    |
      | hello                                         | live    |
      | listed hello wait-3000 heard wait-3000        | live    |
      | listed hello wait-4000                        | suspect |
      | listed hello wait-4000 heard                  | live    |
      | listed hello wait-10000 paused                | live    |
      | listed hello lost                             | suspect |
      | listed hello lost wait-40000                  | suspect |
      | listed hello lost unlisted wait-40000         | gone    |
      | listed hello unlisted                         | live    |
      | listed hello farewell                         | leaving |
      | listed hello farewell heard                   | leaving |
      | listed hello farewell hello                   | leaving |
      | listed hello farewell listed hello            | leaving |
      | listed hello farewell new-hello               | live    |
      | listed hello drains                           | leaving |
      | listed list-leaving                           | leaving |
      | listed hello list-leaving heard               | leaving |
      | listed unlisted                               | gone    |
      | listed unlisted listed                        | gone    |
      | listed unlisted hello                         | live    |
      | listed unlisted moved                         | joining |
      | listed hello lost unlisted wait-40000 listed  | gone    |
      | listed hello lost unlisted wait-40000 new-hello | live  |
      | heard                                         | unknown |
      | lost                                          | unknown |

  Scenario Outline: Connections are bounded, evenly spread and stable
    Given <entries> entries and <agents> agents in <zones> zones and <pools> pools
    Then each agent has at least <least> and on average at most <mean> entries
    And each entry has at most <most> agents and at least 2 of each pool
    And each entry with 8 agents or more has agents in 2 zones or more
    And at least <own> of 100 connections of large pools stay in their zone
    When one entry and one agent leave
    Then at most <moved> of 1000 other connections change

    Examples:
      | entries | agents | zones | pools | least | mean | most | own | moved |
      | 3       | 10     | 3     | 1     | 3     | 3    | 10   | 0   | 0     |
      | 20      | 60     | 4     | 3     | 10    | 17   | 60   | 40  | 40    |
      | 120     | 600    | 8     | 6     | 10    | 17   | 100  | 40  | 10    |
      | 200     | 1000   | 22    | 28    | 10    | 40   | 180  | 15  | 10    |

  Scenario Outline: A team's limit is shared by demand
    Given entries that use <uses> of a team limited to 120
    When they exchange shares <rounds> times with <fault>
    Then their allowances are about <allowances>
    And the allowances never summed up to more than 120

    Examples:
      | uses     | rounds | fault              | allowances |
      | 10 10 10 | 3      | nothing            | 40 40 40   |
      | 90 0 0   | 4      | nothing            | 113 4 4    |
      | 90 90 0  | 6      | nothing            | 60 60 0    |
      | 90 0 0   | 4      | the store down     | 40 40 40   |
      | 90 0 0   | 12     | lost answers       | 113 4 4    |
      | 90 0 0   | 4      | need that comes back | 40 40 40 |
      | 90 0 0   | 4      | a lender dead      | 60 60      |
