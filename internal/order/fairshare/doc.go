// Package fairshare orders waiting requests by their teams' shares and by the time left to their targets.
//
// A start is chosen in three passes:
//
//  1. Urgent work (quick work, and slow work that is close to its latest start) of teams that run no more than the part of the
//     pool that their share entitles them to, least slack first. This meets quick targets, and a team cannot exceed its share
//     by submitting its work as urgent.
//  2. The team with the least attained service divided by share; within the team its urgent work, then slow work by latest
//     start, then overdue slow work, which can no longer meet its target. Every eighth start of a team prefers overdue work.
//  3. Quick work that can no longer meet its target, so that it takes only slots that nothing else can use.
package fairshare
