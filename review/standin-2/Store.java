import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store: rows, transactions and long polls, without loss. */
final class Store implements Server.Handler {

  private static final int MAX_ROWS = 500;

  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<String, Row> rows = new TreeMap<>();
  private long version;

  /** Whether the store reads requests and answers none. */
  private volatile boolean silent;

  private record Row(String table, String key, byte[] value, long version, boolean deleted) {}

  /** Writes a row as the operator or a replica does, and returns when it is acknowledged. */
  synchronized void put(String table, String key, JsonNode value) {
    write(table, key, value.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Begins or ends an outage in which the store answers nothing; requests of that time are lost. */
  void setSilent(boolean value) {
    silent = value;
  }

  synchronized void remove(String table, String key) {
    version++;
    rows.put(table + "/" + key, new Row(table, key, null, version, true));
    notifyAll();
  }

  private void write(String table, String key, byte[] value) {
    version++;
    rows.put(table + "/" + key, new Row(table, key, value, version, false));
    notifyAll();
  }

  @Override
  public Server.Response handle(Server.Request request) throws Exception {
    if (silent) {
      return new Server.Response(0, Map.of(), null);
    }
    Server.Response response = serve(request);
    // A connection on which a response is lost delivers nothing further.
    return silent ? new Server.Response(0, Map.of(), null) : response;
  }

  private Server.Response serve(Server.Request request) throws Exception {
    if (request.path().equals("/api/rows-get")) {
      return read(request);
    }
    if (request.path().equals("/api/rows-feed")) {
      return feed(request);
    }
    if (request.path().equals("/api/rows-tx")) {
      return commit(request);
    }
    return Server.Response.of(404, "{}");
  }

  private synchronized Server.Response read(Server.Request request) {
    String table = request.query("table", "");
    String source = request.query("source", "");
    String target = request.query("target", "");
    int limit = Integer.parseInt(request.query("limit", "" + MAX_ROWS));
    List<Row> found = new ArrayList<>();
    boolean partMatches = request.query("part", "").isEmpty();
    for (Row row : rows.values()) {
      boolean inRange =
          row.key.compareTo(source) >= 0 && (target.isEmpty() || row.key.compareTo(target) < 0);
      if (partMatches && row.table.equals(table) && !row.deleted && inRange) {
        found.add(row);
      }
    }
    boolean more = found.size() > limit;
    return Server.Response.of(
        200, body(more ? found.subList(0, limit) : found).put("hasMore", more).toString());
  }

  private synchronized Server.Response feed(Server.Request request) throws InterruptedException {
    String table = request.query("table", "");
    long after = Long.parseLong(request.query("afterRevision", "0"));
    long until = now() + Long.parseLong(request.query("waitMs", "0"));
    while (true) {
      List<Row> found = new ArrayList<>();
      for (Row row : rows.values()) {
        if (row.table.equals(table) && row.version > after) {
          found.add(row);
        }
      }
      long left = until - now();
      if (!found.isEmpty() || left <= 0) {
        found.sort((a, b) -> Long.compare(a.version, b.version));
        return Server.Response.of(200, body(found).toString());
      }
      wait(left);
    }
  }

  private synchronized Server.Response commit(Server.Request request) throws IOException {
    JsonNode json = mapper.readTree(request.body());
    List<Row> current = new ArrayList<>();
    boolean holds = true;
    for (JsonNode row : json.path("precondition")) {
      Row known = rows.get(row.path("table").asText() + "/" + row.path("key").asText());
      long have = known == null || known.deleted ? 0 : known.version;
      holds &= have == row.path("rowVersion").asLong();
      if (have != 0) {
        current.add(known);
      }
    }
    if (!holds) {
      return Server.Response.of(412, body(current).toString());
    }
    for (JsonNode row : json.path("write")) {
      write(row.path("table").asText(), row.path("key").asText(), row.path("value").binaryValue());
    }
    for (JsonNode row : json.path("remove")) {
      remove(row.path("table").asText(), row.path("key").asText());
    }
    return Server.Response.of(200, body(List.of()).toString());
  }

  private ObjectNode body(List<Row> found) {
    ObjectNode body = mapper.createObjectNode();
    ArrayNode list = body.putArray("rows");
    for (Row row : found) {
      ObjectNode json = list.addObject();
      json.put("table", row.table).put("part", "").put("key", row.key);
      json.put("rowVersion", row.version);
      if (row.deleted) {
        json.put("deleted", true);
      } else {
        json.put("value", Base64.getEncoder().encodeToString(row.value));
      }
    }
    return body.put("rowVersion", version).put("nowMs", now());
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }
}
