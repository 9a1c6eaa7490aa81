Feature: A team that floods the gateways doesn't crowd out the others

  # Guards against shares that don't sum up to what can be served, that give a
  # team more than it asks for, or that ignore weights.
  Scenario Outline: Which part of requests is within shares: <case>
    When teams ask for "<asked>" with weights "<weights>" and <served> of all can be served
    Then the parts within their shares are "<parts>"

    Examples:
      | case | asked | weights | served | parts |
      | all can be served | 1 8 | 1 1 | 1 | 1 1 |
      | one asks for more than half | 2 8 | 1 1 | 0.6 | 1 0.5 |
      | both do | 6 6 | 1 1 | 0.5 | 0.5 0.5 |
      | the weights differ | 8 8 | 3 1 | 0.5 | 0.75 0.25 |
      | a small team and two floods | 1 8 8 | 1 1 1 | 0.529412 | 1 0.5 0.5 |
      | nothing is served | 1 2 | 1 1 | 0 | 0 0 |
      | a team asks for nothing | 0 4 | 1 1 | 0.5 | 1 0.5 |

  # Loads: 16 teams, the second half as large as the first, the third a third
  # and so on, with 0.7 of the capacity; then <who> at 8 times the usual for
  # 15 s, with callers that retry for 5 s. Former: without shares of teams.
  # Guards against teams with their usual load that are hardly served.
  Scenario Outline: <gateways> gateways, <who> at 8 times the usual load, <allowances>
    When <who> of 16 teams at <gateways> gateways send 8 times their usual load, <allowances>
    Then the other teams' requests are served <least> times as often as formerly, <share> of them
    And each team is served at least a quarter as often as all
    And of all requests at most 0.02 fewer are served than formerly

    Examples:
      | gateways | who | allowances | least | share |
      | 1 | t03 | with allowances | 0.99 | 0.98 |
      | 3 | t03 | with allowances | 0.99 | 0.98 |
      | 1 | t00 and t05 | with allowances | 1.3 | 0.85 |
      | 3 | t00 and t05 | with allowances | 1.3 | 0.85 |
      | 3 | t00 and t05 | without allowances | 1.3 | 0.85 |
