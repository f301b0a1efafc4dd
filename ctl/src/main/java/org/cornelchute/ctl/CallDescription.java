package org.cornelchute.ctl;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * What the options say of the call that a command asks about; each is empty if not given.
 *
 * @param workspace name of the workspace
 * @param tokens prompt tokens and maximum output tokens, separated by a comma
 * @param parts parts of the prompt as {@code ID:TOKENS}, separated by commas
 * @param deadlineMillis time that the caller waits, in milliseconds
 */
record CallDescription(String workspace, String tokens, String parts, String deadlineMillis) {

  /** Returns the query of a page that explains the call. */
  String toQuery(String host, String path) {
    StringBuilder query = new StringBuilder();
    append(query, "host", host);
    append(query, "path", path);
    append(query, "workspace", workspace);
    append(query, "tokens", tokens);
    append(query, "parts", parts);
    append(query, "deadline", deadlineMillis);
    return query.toString();
  }

  private static void append(StringBuilder query, String name, String value) {
    if (value.isEmpty()) {
      return;
    }
    query
        .append(query.length() == 0 ? "" : "&")
        .append(name)
        .append('=')
        .append(URLEncoder.encode(value, StandardCharsets.UTF_8));
  }
}
