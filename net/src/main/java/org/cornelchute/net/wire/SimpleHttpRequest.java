package org.cornelchute.net.wire;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A request whose response is buffered in memory.
 *
 * @param address address as {@code ip:port}
 * @param method HTTP method
 * @param uri path and query
 * @param body request body, empty if there is none
 * @param timeoutMillis maximum time until the response is complete
 */
public record SimpleHttpRequest(
    String address, HttpMethod method, String uri, byte[] body, long timeoutMillis) {}
