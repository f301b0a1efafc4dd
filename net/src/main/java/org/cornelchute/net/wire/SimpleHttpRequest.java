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
 * @param maxBodyBytes maximum size of the response body; a larger one fails the request
 * @param keepAlive whether the connection stays open after the response for later requests
 */
public record SimpleHttpRequest(
    String address,
    HttpMethod method,
    String uri,
    byte[] body,
    long timeoutMillis,
    int maxBodyBytes,
    boolean keepAlive) {

  /** Creates a request whose connection stays open after the response. */
  public SimpleHttpRequest(
      String address,
      HttpMethod method,
      String uri,
      byte[] body,
      long timeoutMillis,
      int maxBodyBytes) {
    this(address, method, uri, body, timeoutMillis, maxBodyBytes, true);
  }
}
