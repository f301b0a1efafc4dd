/**
 * Decisions on calls that an entry sends directly to endpoints, without an agent in between.
 *
 * <p>{@link org.cornelchute.policy.forward.CallDecider} owns the state of each call. The other
 * types hold what it decides on: routes and keys, endpoints and their load, the age of the cached
 * state, and this entry's share of limits that apply to all entries together.
 */
package org.cornelchute.policy.forward;
