package org.cornelchute.policy.routing;

/** What a caller is told when it gets no answer. */
public enum Refusal {
  /** The request did not run and will not. */
  NOT_RUN,
  /** The workspace is above its rate limit; the request did not run. */
  RATE_LIMITED,
  /** Nobody can tell whether the request ran. */
  OUTCOME_UNKNOWN,
  /** The idempotency key was used before for another request; this one did not run. */
  KEY_REUSED
}
