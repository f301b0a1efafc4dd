package org.cornelchute.net.wire;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A request whose answer is read whole.
 *
 * @param address {@code ip:port}
 * @param method HTTP method
 * @param uri path and query
 * @param body bytes to send, empty for none
 * @param timeoutMillis longest time until the whole answer
 */
public record SimpleHttpRequest(
    String address, HttpMethod method, String uri, byte[] body, long timeoutMillis) {}
