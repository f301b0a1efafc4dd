package org.cornelchute.entry.direct;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies end-to-end headers between callers and endpoints, except those that the entry sets. */
final class HeaderCopier {

  /** Headers that concern one connection only, or that are set anew for each message. */
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  private final Set<String> headersSetByEntry;

  /** Creates a copier for the header names of the platform. */
  HeaderCopier(CallHeaderNames names) {
    this.headersSetByEntry =
        Set.of(
            names.expectedInstance(),
            names.expectedVersion(),
            names.workspace(),
            names.priority(),
            names.deadline(),
            names.lastEventId());
  }

  /**
   * Copies the headers of a caller's request to the request to an endpoint.
   *
   * @param stripKey whether callers authenticate with keys, which endpoints must not see
   */
  void copyRequestHeaders(HttpHeaders from, HttpHeaders to, boolean stripKey) {
    Set<String> connectionHeaders = headersNamedByConnection(from);
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      boolean isKey = stripKey && name.contentEquals(HttpHeaderNames.AUTHORIZATION);
      if (!isKey
          && !headersSetByEntry.contains(name)
          && !HOP_BY_HOP_HEADERS.contains(name)
          && !connectionHeaders.contains(name)) {
        to.add(header.getKey(), header.getValue());
      }
    }
  }

  /**
   * Sets a header to a text of any letters, in UTF-8. The encoder of headers writes one byte a char
   * and a question mark for each char beyond that.
   */
  static void setText(HttpHeaders headers, String name, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    headers.set(name, new String(bytes, StandardCharsets.ISO_8859_1));
  }

  /** Copies the headers of an endpoint's response to the response to a caller. */
  void copyResponseHeaders(HttpHeaders from, HttpHeaders to) {
    Set<String> connectionHeaders = headersNamedByConnection(from);
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP_HEADERS.contains(name) && !connectionHeaders.contains(name)) {
        to.add(header.getKey(), header.getValue());
      }
    }
  }

  private static Set<String> headersNamedByConnection(HttpHeaders from) {
    String connection = from.get(HttpHeaderNames.CONNECTION);
    if (connection == null) {
      return Set.of();
    }
    Set<String> names = new HashSet<>();
    for (String name : connection.split(",")) {
      names.add(name.strip().toLowerCase(Locale.ROOT));
    }
    return names;
  }
}
