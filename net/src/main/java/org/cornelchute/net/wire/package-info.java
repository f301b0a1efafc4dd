/**
 * HTTP/1.1 client with pooled connections that reports whether a failed request may have been sent.
 *
 * <p>All classes are confined to one event loop and therefore need no synchronization.
 */
package org.cornelchute.net.wire;
