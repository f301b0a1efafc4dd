/**
 * An entry that sends calls straight to endpoints over HTTP.
 *
 * <p>One event loop owns callers' connections, endpoints' connections and the decider; nothing here
 * is synchronized.
 */
package org.cornelchute.entry.direct;
