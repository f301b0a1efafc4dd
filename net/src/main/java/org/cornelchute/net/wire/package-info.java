/**
 * HTTP/1.1 exchanges of which it is known whether their bytes may have left.
 *
 * <p>One event loop owns every connection, so nothing here is synchronized.
 */
package org.cornelchute.net.wire;
