package org.cornelchute.net.wire;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A request to one address.
 *
 * @param address address as {@code ip:port}
 * @param message head and body; released once written
 * @param correlationHeader header whose value responses echo, by which they are matched with their
 *     request; empty if responses do not echo any
 * @param maxConnections maximum number of open connections to the address
 * @param connectTimeoutMillis maximum time to establish a connection
 * @param maxIdleMillis maximum idle time after which a connection may still be reused
 */
public record WireRequest(
    String address,
    FullHttpRequest message,
    String correlationHeader,
    int maxConnections,
    int connectTimeoutMillis,
    long maxIdleMillis) {}
