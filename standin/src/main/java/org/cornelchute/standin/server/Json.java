package org.cornelchute.standin.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Reads JSON requests and writes JSON responses for the stand-ins. */
final class Json {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Sends a value as the response body. */
  static Mono<Void> send(HttpServerResponse response, int status, Object value) {
    try {
      byte[] body = MAPPER.writeValueAsBytes(value);
      return response
          .status(status)
          .header("Content-Type", "application/json")
          .header("Content-Length", Integer.toString(body.length))
          .sendObject(Unpooled.wrappedBuffer(body))
          .then();
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("response value cannot be encoded as JSON", e);
    }
  }

  /** Reads the body of a request as one value; an empty body is read as an empty object. */
  static <T> Mono<T> read(HttpServerRequest request, Class<T> type) {
    return request
        .receive()
        .aggregate()
        .asString(StandardCharsets.UTF_8)
        .defaultIfEmpty("{}")
        .map(
            text -> {
              try {
                return MAPPER.readValue(text, type);
              } catch (JsonProcessingException e) {
                throw new IllegalArgumentException(e.getOriginalMessage(), e);
              }
            });
  }

  /** Returns a query parameter without URL decoding, or the default if it is absent. */
  static String queryParameter(HttpServerRequest request, String name, String defaultValue) {
    int queryStart = request.uri().indexOf('?');
    if (queryStart < 0) {
      return defaultValue;
    }
    for (String pair : request.uri().substring(queryStart + 1).split("&")) {
      if (pair.startsWith(name + "=")) {
        return pair.substring(name.length() + 1);
      }
    }
    return defaultValue;
  }
}
