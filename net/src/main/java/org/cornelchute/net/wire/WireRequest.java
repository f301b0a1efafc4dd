package org.cornelchute.net.wire;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * One request to one address.
 *
 * @param address {@code ip:port}
 * @param message head and body; released once written
 * @param correlationHeader header in which the answer repeats what the request carries, empty if it
 *     does not
 * @param maxConnections connections that may be open to the address
 * @param connectTimeoutMillis longest time until a connection is made
 * @param maxIdleMillis longest time that a connection was idle to be used again
 */
public record WireRequest(
    String address,
    FullHttpRequest message,
    String correlationHeader,
    int maxConnections,
    int connectTimeoutMillis,
    long maxIdleMillis) {}
