package org.cornelchute.entry.direct;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies the headers that are passed on: not those of one connection, nor those the entry sets. */
final class HeaderCopier {

  /** Headers that concern one connection only. */
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

  /** Creates a copier for these names of headers. */
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
   * Copies a caller's headers to an endpoint.
   *
   * @param keyed whether callers are known by keys, which endpoints must not see
   */
  void copyRequestHeaders(HttpHeaders from, HttpHeaders to, boolean keyed) {
    Set<String> named = headersNamedByConnection(from);
    for (Map.Entry<String, String> e : from) {
      String name = e.getKey().toLowerCase(Locale.ROOT);
      boolean key = keyed && name.contentEquals(HttpHeaderNames.AUTHORIZATION);
      if (!key
          && !headersSetByEntry.contains(name)
          && !HOP_BY_HOP_HEADERS.contains(name)
          && !named.contains(name)) {
        to.add(e.getKey(), e.getValue());
      }
    }
  }

  /** Copies an endpoint's headers to a caller. */
  void copyResponseHeaders(HttpHeaders from, HttpHeaders to) {
    Set<String> named = headersNamedByConnection(from);
    for (Map.Entry<String, String> e : from) {
      String name = e.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP_HEADERS.contains(name) && !named.contains(name)) {
        to.add(e.getKey(), e.getValue());
      }
    }
  }

  private static Set<String> headersNamedByConnection(HttpHeaders from) {
    String connection = from.get(HttpHeaderNames.CONNECTION);
    if (connection == null) {
      return Set.of();
    }
    Set<String> named = new HashSet<>();
    for (String each : connection.split(",")) {
      named.add(each.strip().toLowerCase(Locale.ROOT));
    }
    return named;
  }
}
