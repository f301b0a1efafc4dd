import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica of a plain service: runs each request for a fixed time and echoes its body's size. */
final class Plain implements Server.Handler {

  final String id;
  final String service;
  final Server server;
  final int slots;
  private final long workMillis;
  private final AtomicInteger running = new AtomicInteger();
  private final java.util.function.Consumer<Server.Request> onRun;

  Plain(
      String id,
      String service,
      int slots,
      long workMillis,
      java.util.function.Consumer<Server.Request> onRun)
      throws Exception {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.workMillis = workMillis;
    this.onRun = onRun;
    this.server = new Server(this);
  }

  ObjectNode row(String zone) {
    ObjectNode row = new ObjectMapper().createObjectNode();
    row.put("service", service).put("address", server.address()).put("zone", zone);
    row.put("version", "v1").put("slots", slots).put("state", "ready");
    row.put("coldRemainingMs", 0).put("sequence", 1).put("born", 1_700_000_000_000L);
    row.putArray("models");
    return row;
  }

  @Override
  public Server.Response handle(Server.Request request) throws Exception {
    String requestId = request.header("Cornelchute-Request-Id");
    if (!request.header("Cornelchute-Expected-Instance").equals(id)) {
      return Server.Response.of(421, "").with("Cornelchute-Request-Id", requestId);
    }
    if (running.incrementAndGet() > slots + 24) {
      running.decrementAndGet();
      return Server.Response.of(503, "")
          .with("Cornelchute-Request-Id", requestId)
          .with("Cornelchute-Not-Executed", "1");
    }
    try {
      onRun.accept(request);
      Thread.sleep(workMillis);
    } finally {
      running.decrementAndGet();
    }
    return Server.Response.of(200, requestId + " " + request.body().length)
        .with("Cornelchute-Request-Id", requestId)
        .with("Cornelchute-Response-Signature", "s-" + requestId);
  }

  /** Returns a configuration with one service, one route of each kind and one key. */
  static ObjectNode config(long version, String service) {
    ObjectNode config = new ObjectMapper().createObjectNode();
    config.put("version", version);
    ArrayNode routes = config.putArray("routes");
    addRoute(routes, "orders", "/orders/", "non_idempotent", service);
    addRoute(routes, "stock", "/stock/", "idempotent", service);
    ObjectNode s = config.putArray("services").addObject();
    s.put("name", service).put("healthPath", "/health").put("maxConnections", 110);
    s.put("protocol", "h1").put("tls", false).put("coldStartS", 0.0).put("coldPerS", 0.0);
    ObjectNode limits = config.putObject("limits");
    limits.put("maxHeaderBytes", 16_384).put("maxBodyBytes", 4_194_304);
    limits.put("headerTimeoutMs", 3_000).put("idleTimeoutMs", 15_000);
    ObjectNode tenant = config.putArray("tenants").addObject();
    tenant.put("name", "tenant-1").put("priority", 1);
    tenant.putArray("apiKeys").add("key-1");
    tenant.putArray("allowedRegions");
    return config;
  }

  private static void addRoute(
      ArrayNode routes, String name, String prefix, String kind, String service) {
    ObjectNode route = routes.addObject();
    route.put("name", name).put("host", "api.example").put("pathPrefix", prefix);
    route.put("kind", kind).put("timeoutMs", 6_000).put("targetLatencyMs", 500);
    route.put("priority", 1).put("service", service).put("maxAttempts", 2);
    route.put("anonymous", false).put("sticky", false).put("resumable", false);
    route.putArray("allowedRegions");
  }
}
