package org.cornelchute.standin.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** JSON over HTTP for the stand-ins. */
final class Json {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Answers with a value. */
  static Mono<Void> send(HttpServerResponse r, int status, Object value) {
    try {
      byte[] body = MAPPER.writeValueAsBytes(value);
      return r.status(status)
          .header("Content-Type", "application/json")
          .header("Content-Length", Integer.toString(body.length))
          .sendObject(Unpooled.wrappedBuffer(body))
          .then();
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value cannot be encoded", e);
    }
  }

  /** Reads the body of a request as one value. */
  static <T> Mono<T> read(HttpServerRequest q, Class<T> type) {
    return q.receive()
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

  /** Reads one query parameter. */
  static String queryParameter(HttpServerRequest q, String name, String otherwise) {
    int at = q.uri().indexOf('?');
    if (at < 0) {
      return otherwise;
    }
    for (String pair : q.uri().substring(at + 1).split("&")) {
      if (pair.startsWith(name + "=")) {
        return pair.substring(name.length() + 1);
      }
    }
    return otherwise;
  }
}
