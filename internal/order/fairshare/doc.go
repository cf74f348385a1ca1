// Package fairshare orders waiting requests by their teams' shares and by the time left to their targets.
//
// A start is chosen in three passes:
//
//  1. Urgent work (quick work, and slow work whose latest start has come) of teams that run no more than their part of
//     the pool, least slack first. Quick targets are met without a team exceeding its share by calling its work urgent.
//  2. The team with the least attained service divided by share; within the team its urgent work, then slow work by
//     latest start, then slow work that can no longer meet its target.
//  3. Quick work that can no longer meet its target, so that it takes only slots that nothing else can use.
package fairshare
