package org.cornelchute.standin.harness;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Blocking HTTP calls to operator ports and stand-ins. */
public final class Http {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Http() {}

  /** Sends a GET request and returns the JSON response. */
  public static JsonNode get(int port, String path) throws IOException {
    return call(HttpRequest.newBuilder(uri(port, path)).GET());
  }

  /** Sends a value as JSON in a POST request and returns the JSON response. */
  public static JsonNode post(int port, String path, Object body) throws IOException {
    return call(
        HttpRequest.newBuilder(uri(port, path))
            .POST(HttpRequest.BodyPublishers.ofString(encode(body))));
  }

  private static String encode(Object body) throws JsonProcessingException {
    return MAPPER.writeValueAsString(body);
  }

  private static JsonNode call(HttpRequest.Builder request) throws IOException {
    try {
      HttpResponse<String> response =
          CLIENT.send(
              request.timeout(REQUEST_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
      return MAPPER.readTree(response.body());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private static URI uri(int port, String path) {
    return URI.create("http://127.0.0.1:" + port + path);
  }
}
