/**
 * An entry that sends calls directly to endpoints over HTTP, without agents.
 *
 * <p>One event loop owns the connections to callers and endpoints and the decider, so nothing in
 * this package is synchronized.
 */
package org.cornelchute.entry.direct;
