package org.cornelchute.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Body of every response that is not an endpoint's own answer.
 *
 * @param error what went wrong
 */
record ErrorBody(Error error) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  static byte[] encode(String code, String message, String request) {
    try {
      return MAPPER.writeValueAsBytes(new ErrorBody(new Error(code, message, request)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("error cannot be encoded", e);
    }
  }

  /**
   * One error.
   *
   * @param code stable, machine-readable
   * @param message for people
   * @param request identity of the request
   */
  record Error(String code, String message, String request) {}
}
