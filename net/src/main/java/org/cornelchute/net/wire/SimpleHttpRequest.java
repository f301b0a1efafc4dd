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
 * @param keepAlive whether the request may share a connection with earlier and later requests.
 *     Responses bear no id here: on a shared connection, one that a faulty server sends twice can
 *     be taken for the response to the next request. Requests whose responses are not checked by
 *     anything else must not share one.
 */
public record SimpleHttpRequest(
    String address,
    HttpMethod method,
    String uri,
    byte[] body,
    long timeoutMillis,
    int maxBodyBytes,
    boolean keepAlive) {

  /** Creates a request that may share a connection. */
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
