package org.cornelchute.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * JSON body of the error responses that the entry itself sends.
 *
 * @param error the error
 */
record ErrorBody(Error error) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  static byte[] encode(String code, String message, String request) {
    try {
      return MAPPER.writeValueAsBytes(new ErrorBody(new Error(code, message, request)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("error body cannot be encoded as JSON", e);
    }
  }

  /**
   * Description of an error.
   *
   * @param code stable code for programs
   * @param message text for people
   * @param request identity of the request
   */
  record Error(String code, String message, String request) {}
}
