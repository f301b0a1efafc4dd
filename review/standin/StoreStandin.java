import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as PROTOCOL.md describes it, as far as tables go; always sound. */
final class StoreStandin {

  private static final int MAX_ROWS = 500;

  private final HttpListener listener;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long version;

  StoreStandin() throws IOException {
    listener = new HttpListener("127.0.0.1", this::handle);
  }

  String address() {
    return listener.address();
  }

  /** Writes a row as the operator or a replica would; null removes it. */
  synchronized void put(String table, String key, Object value) {
    byte[] bytes = value == null ? null : Json.write(value).getBytes(StandardCharsets.UTF_8);
    set(table, "", key, bytes == null ? null : Base64.getEncoder().encodeToString(bytes));
  }

  /** Returns the decoded value of a row, null if there is none. */
  synchronized String get(String table, String key) {
    Row row = rows.get(id(table, "", key));
    return row == null || row.value == null
        ? null
        : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
  }

  private synchronized void set(String table, String part, String key, String value) {
    rows.put(id(table, part, key), new Row(table, part, key, value, ++version));
    notifyAll();
  }

  private boolean handle(HttpMessage request, OutputStream out) throws IOException {
    switch (request.path()) {
      case "/api/rows-get" -> HttpListener.respondJson(out, 200, read(request));
      case "/api/rows-feed" -> HttpListener.respondJson(out, 200, poll(request));
      case "/api/rows-tx" -> commit(request, out);
      default -> HttpListener.respondJson(out, 404, Json.map());
    }
    return true;
  }

  private synchronized Map<String, Object> read(HttpMessage request) {
    String table = request.query("table", "");
    String part = request.query("part", "");
    String source = request.query("source", "");
    String target = request.query("target", "");
    long limit = Math.min(MAX_ROWS, Long.parseLong(request.query("limit", "500")));
    List<Object> found = new ArrayList<>();
    boolean more = false;
    for (Row row : rows.values()) {
      if (row.value == null
          || !row.table.equals(table)
          || !row.part.equals(part)
          || row.key.compareTo(source) < 0
          || !target.isEmpty() && row.key.compareTo(target) >= 0) {
        continue;
      }
      if (found.size() == limit) {
        more = true;
        break;
      }
      found.add(row.json());
    }
    Map<String, Object> body = body(found);
    body.put("hasMore", more);
    return body;
  }

  private synchronized Map<String, Object> poll(HttpMessage request) {
    String table = request.query("table", "");
    long after = Long.parseLong(request.query("afterRevision", "0"));
    long end =
        System.nanoTime() + Long.parseLong(request.query("waitMs", "0")) * 1_000_000;
    while (true) {
      List<Object> changed = new ArrayList<>();
      rows.values().stream()
          .filter(r -> r.table.equals(table) && r.version > after)
          .sorted((a, b) -> Long.compare(a.version, b.version))
          .forEach(r -> changed.add(r.json()));
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || left <= 0) {
        return body(changed);
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        return body(changed);
      }
    }
  }

  @SuppressWarnings("unchecked")
  private synchronized void commit(HttpMessage request, OutputStream out) throws IOException {
    Map<String, Object> tx =
        (Map<String, Object>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
    for (Object each : (List<Object>) tx.getOrDefault("precondition", List.of())) {
      Map<String, Object> row = (Map<String, Object>) each;
      Row known = rows.get(id(row));
      long current = known == null || known.value == null ? 0 : known.version;
      if (current != (Long) row.get("rowVersion")) {
        HttpListener.respondJson(
            out, 412, body(known == null ? List.of() : List.of(known.json())));
        return;
      }
    }
    for (Object each : (List<Object>) tx.getOrDefault("write", List.of())) {
      Map<String, Object> row = (Map<String, Object>) each;
      set(text(row, "table"), text(row, "part"), text(row, "key"), text(row, "value"));
    }
    for (Object each : (List<Object>) tx.getOrDefault("remove", List.of())) {
      Map<String, Object> row = (Map<String, Object>) each;
      set(text(row, "table"), text(row, "part"), text(row, "key"), null);
    }
    HttpListener.respondJson(out, 200, body(List.of()));
  }

  private Map<String, Object> body(List<Object> list) {
    return Json.map(
        "rows", list, "rowVersion", version, "nowMs", System.nanoTime() / 1_000_000);
  }

  private static String id(Map<String, Object> row) {
    return id(text(row, "table"), text(row, "part"), text(row, "key"));
  }

  private static String id(String table, String part, String key) {
    return table + "\0" + part + "\0" + key;
  }

  private static String text(Map<String, Object> row, String field) {
    return (String) row.getOrDefault(field, "");
  }

  private record Row(String table, String part, String key, String value, long version) {
    private Map<String, Object> json() {
      Map<String, Object> json = Json.map("table", table, "part", part, "key", key);
      json.put(value == null ? "deleted" : "value", value == null ? (Object) true : value);
      json.put("rowVersion", version);
      return json;
    }
  }
}
