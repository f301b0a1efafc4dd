/**
 * Decisions on calls that an entry sends straight to endpoints, without an agent between.
 *
 * <p>{@link org.cornelchute.policy.forward.CallDecider} owns the life of a call; the other types
 * are the beliefs it decides on: routes and keys, endpoints and their load, the age of all that,
 * and the budgets that every entry keeps its part of.
 */
package org.cornelchute.policy.forward;
