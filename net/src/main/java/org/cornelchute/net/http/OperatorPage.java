package org.cornelchute.net.http;

import java.util.List;
import java.util.Map;

/** A page of an operator port that depends on the query of the request. */
@FunctionalInterface
public interface OperatorPage {

  /**
   * Returns the response to a request; runs on the event loop of the connection.
   *
   * @param parameters values of the query by name, never null
   */
  PageResponse respond(Map<String, List<String>> parameters);
}
