package org.cornelchute.policy.forward;

/** Execution semantics of the calls of a route. */
public enum CallKind {
  /** May be executed any number of times. */
  IDEMPOTENT,
  /** Must be executed at most once. */
  NON_IDEMPOTENT,
  /** Responds with an event stream; executed at most once unless the route is resumable. */
  STREAM
}
