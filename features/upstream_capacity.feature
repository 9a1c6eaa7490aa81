Feature: Gateways learn how many requests each upstream handles well

  # Guards against a room that is lost to noise or to a slope that still adds
  # throughput, and against one that stays above the knee. One upstream on the
  # test clock has as many requests as its room and takes 200 ms for each, with
  # noise; beyond its knee the time grows with the work in progress.
  Scenario Outline: The room of an upstream: <case>
    Given an upstream of <slots> slots with <behavior>
    When it is used fully for <seconds> s
    Then its room was <least> to <most> in the last half of the time
    And it finished at least <share> of what it could

    Examples:
      | case | slots | behavior | seconds | least | most | share |
      | no rise with load | 13 | no knee | 40 | 13 | 13 | 0.95 |
      | one slot | 1 | no knee | 40 | 1 | 1 | 0.95 |
      | a gentle rise | 13 | gentle rise | 40 | 13 | 13 | 0.95 |
      | knee at 30 % | 20 | knee 6 | 60 | 5 | 10 | 0.9 |
      | knee at 50 % | 20 | knee 10 | 60 | 9 | 14 | 0.9 |
      | knee at 75 % | 20 | knee 15 | 60 | 14 | 20 | 0.9 |
      | knee below the floor | 40 | knee 4 | 60 | 10 | 15 | 0.9 |
      | collapse beyond the knee | 20 | collapse beyond 10 | 60 | 9 | 14 | 0.85 |
      | five times slower for 6 s | 13 | slow from 20 to 26 s | 60 | 13 | 13 | 0.9 |
      | the same with a knee | 20 | knee 10, slow from 20 to 26 s | 60 | 8 | 15 | 0.85 |
      | a step to half the speed | 13 | step at 20 s | 60 | 13 | 13 | 0.9 |
      | drift to a third of the speed | 13 | drift | 60 | 13 | 13 | 0.9 |
      | the knee goes away | 20 | knee 8 until 20 s | 80 | 18 | 20 | 0.8 |
      | cold start | 13 | slow until 2 s | 40 | 13 | 13 | 0.9 |
      | one slow request | 13 | one slow request | 40 | 13 | 13 | 0.95 |
      | short bursts | 13 | bursts | 40 | 13 | 13 | 0 |

  # Guards against what one gateway knows being of no use to the others, and
  # against rooms that outlast those who decided on them.
  Scenario Outline: Gateways share what they know: <case>
    Given <gateways> gateways before plain upstreams with knees 3 and 10 of 10
    When callers ask for twice the capacity for <seconds> s
    And <event>
    Then <result>

    Examples:
      | case | gateways | seconds | event | result |
      | all apply the decided room | 3 | 8 | no gateway fails | all gateways have the same rooms |
      | the decider is cut off | 3 | 8 | the decider is cut off for 4 s of load | another gateway decides |
      | nothing is told any more | 2 | 8 | the decider tells nothing of rooms for 12 s | a gateway that doesn't decide uses all slots |

  Scenario Outline: What doesn't count or starts anew: <case>
    Given 1 gateways before plain upstreams with knees 3 and 10 of 10
    When its room was learned as 4
    And <event>
    Then its room is <room>

    Examples:
      | case | event | room |
      | a restarted upstream | it is listed with a new start | 10 |
      | another version at the same address | it is listed with a new id and version | 10 |
      | a caller that reads slowly | 10 answers are slow as their callers read slowly | 4 |
      | a stalled process | it answers nothing for 6 s | 3 |

  # Guards against announcements that don't fit into a datagram, and against
  # upstreams that are never told of.
  Scenario: Announcements of 300 upstreams are bounded
    Given 2 gateways before 300 plain upstreams
    When each upstream has answered once at one of them
    Then no announcement is larger than 1400 bytes
    And the other has been told of all 300 in 40 announcements

  # Guards against less work finished in time than without the model, and
  # against equal upstreams being served otherwise than before.
  Scenario Outline: Work finished in time: <upstreams>, <gateways> gateways, <load> times the capacity
    Given upstreams "<upstreams>" of <slots> slots behind <gateways> gateways
    When callers of "<route>" ask for <load> times the capacity for <seconds> s
    Then at least <oracle> of the work of an oracle is finished in time
    And it is no less than <more> above that of the previous code
    And it is no less than <equal> above that of equal weights

    Examples: upstreams are given as count x speed/knee (of the slots)
      | upstreams | slots | gateways | load | route | seconds | oracle | more | equal |
      | 4 x 1/1 | 6 | 1 | 1.3 | post | 4 | 0.98 | -0.02 | -0.02 |
      | 4 x 1/1 | 6 | 1 | 1.3 | class | 4 | 0.98 | -0.02 | -0.02 |
      | 4 x 1/1 | 6 | 4 | 0.8 | post | 4 | 0.98 | -0.02 | -0.02 |
      | 1 x 0.2/1, 1 x 0.5/1, 1 x 1/1, 1 x 2/1, 1 x 5/1 | 3 | 4 | 1.3 | post | 5 | 0.9 | -0.02 | 0 |
      | 1 x 0.2/1, 1 x 0.5/1, 1 x 1/1, 1 x 2/1, 1 x 5/1 | 3 | 4 | 0.8 | class | 5 | 0.9 | -0.02 | -0.02 |
      | 1 x 1/0.3, 1 x 1/0.5, 1 x 1/0.8, 1 x 1/1 | 10 | 4 | 1.3 | post | 5 | 0.9 | 0 | 0 |
      | 1 x 1/0.3, 1 x 1/1 | 10 | 1 | 1.3 | post | 6 | 0.9 | 0 | 0 |
      | 2 x 0.5/0.4, 1 x 1/0.7, 1 x 5/0.5, 1 x 2/1 | 6 | 2 | 1.3 | post | 5 | 0.9 | -0.02 | 0 |
      | 150 x 0.5/1, 150 x 2/1 | 1 | 30 | 0.8 | post | 2 | 0.9 | -0.02 | -0.02 |
