package org.cornelchute.net.http;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Response of a page.
 *
 * @param status HTTP status
 * @param contentType type of the content
 * @param text content, never null
 */
public record PageResponse(HttpResponseStatus status, String contentType, String text) {

  private static final String METRICS_TYPE = "text/plain; version=0.0.4";
  private static final String JSON_TYPE = "application/json";

  /** Returns a response of plain text; without one, the page is not available. */
  static PageResponse ofText(String text) {
    return text == null
        ? new PageResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, METRICS_TYPE, "")
        : new PageResponse(HttpResponseStatus.OK, METRICS_TYPE, text);
  }

  /** Returns a response of JSON. */
  public static PageResponse ofJson(HttpResponseStatus status, String json) {
    return new PageResponse(status, JSON_TYPE, json);
  }
}
