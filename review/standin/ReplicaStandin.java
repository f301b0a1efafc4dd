import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica as PROTOCOL.md describes it: a model replica that answers with a stream of events, or,
 * without a model, a plain service.
 */
final class ReplicaStandin {

  static final int CHUNKS = 96;
  static final int CHUNK_BYTES = 24_576;

  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final int SLOTS = 16;
  private static final int EVENTS = 12;
  private static final long PREFILL_MILLIS = 60;
  private static final long EVENT_MILLIS = 30;
  private static final AtomicInteger INCARNATIONS = new AtomicInteger();

  private final String name;
  private final String service;
  private final String model;
  private final String zone;
  private final StoreStandin store;
  private final Observer observer;
  private final HttpListener listener;
  private final Semaphore slots = new Semaphore(SLOTS, true);

  /** What was staged, by piece. */
  final TreeMap<Integer, byte[]> staged = new TreeMap<>();

  private volatile String id;
  private volatile long born;
  private volatile boolean up = true;
  private volatile long version;
  private volatile long sequence;
  private volatile boolean busy;
  private volatile long silentUntil = Long.MIN_VALUE / 2;

  /**
   * Starts a replica that is listed in the store.
   *
   * @param model name of the model, empty for a plain service
   */
  ReplicaStandin(
      String host,
      String name,
      String service,
      String model,
      String zone,
      StoreStandin store,
      Observer observer)
      throws IOException {
    this.name = name;
    this.service = service;
    this.model = model;
    this.zone = zone;
    this.store = store;
    this.observer = observer;
    this.version = model.isEmpty() ? 0 : 1;
    newIncarnation();
    this.listener = new HttpListener(host, this::handle);
    Threads.start(
        "heartbeat " + name,
        () -> {
          while (true) {
            awaitSound();
            if (up) {
              store.put("servers", id, row());
            }
            Threads.sleep(HEARTBEAT_MILLIS);
          }
        });
  }

  String address() {
    return listener.address();
  }

  String name() {
    return name;
  }

  String id() {
    return id;
  }

  long version() {
    return version;
  }

  /**
   * Crashes; the replica is back after some time with a new identity and its weights loaded.
   *
   * @param dark whether its machine crashes too, so that its open connections are silent
   * @return false if it was down already
   */
  boolean crash(long downMillis, boolean dark) {
    synchronized (this) {
      if (!up) {
        return false;
      }
      up = false;
    }
    String oldId = id;
    if (dark) {
      listener.goDark();
    } else {
      listener.crash();
    }
    Threads.start(
        "restart " + name,
        () -> {
          Threads.sleep(downMillis);
          newIncarnation();
          sequence = 0;
          try {
            listener.reopen();
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
          up = true;
          store.put("servers", id, row());
          Threads.sleep(3 * HEARTBEAT_MILLIS - downMillis);
          store.put("servers", oldId, null);
        });
    return true;
  }

  private void newIncarnation() {
    id = "i-" + name + "-" + INCARNATIONS.incrementAndGet();
    born = System.currentTimeMillis();
  }

  private Map<String, Object> row() {
    Map<String, Object> row =
        Json.map(
            "service", service,
            "address", listener.address(),
            "zone", zone,
            "version", "v1",
            "slots", SLOTS,
            "state", "ready",
            "coldRemainingMs", 0,
            "sequence", sequence,
            "born", born);
    describe(row);
    return row;
  }

  private void describe(Map<String, Object> json) {
    if (!model.isEmpty()) {
      json.put("stage", "prefill_decode");
      json.put(
          "models",
          version == 0
              ? List.of()
              : List.of(Json.map("name", model, "version", version, "adapters", List.of())));
    }
  }

  /** Falls silent for some time and then goes on; nothing is lost and no connection ends. */
  void fallSilent(long millis) {
    silentUntil = System.nanoTime() / 1_000_000 + millis;
  }

  private void awaitSound() {
    long left;
    while ((left = silentUntil - System.nanoTime() / 1_000_000) > 0) {
      Threads.sleep(left);
    }
  }

  private boolean handle(HttpMessage request, OutputStream out) throws IOException {
    awaitSound();
    String path = request.path();
    if (path.equals("/api/report")) {
      Map<String, Object> report =
          Json.map(
              "busy", busy,
              "sequence", sequence,
              "waiting", slots.getQueueLength(),
              "running", SLOTS - slots.availablePermits(),
              "kvCacheUsed", 0,
              "kvCacheTotal", 90_000,
              "prefixHandles", 0,
              "born", born);
      describe(report);
      HttpListener.respondJson(out, 200, report);
      return true;
    }
    if (path.startsWith("/api/stage-")) {
      handleStage(request, out);
      return true;
    }
    if (path.equals("/api/order")) {
      handleOrder(request, out);
      return true;
    }
    if (path.equals("/health")) {
      HttpListener.respond(out, 200, Map.of("Cornelchute-Instance-Id", id), new byte[0]);
      return true;
    }
    return serve(request, out);
  }

  private void handleStage(HttpMessage request, OutputStream out) throws IOException {
    String item = request.query("itemCount", "");
    if (request.method().equals("PUT")) {
      synchronized (staged) {
        staged.put(Integer.parseInt(item), request.body);
      }
      HttpListener.respond(out, 200, Map.of(), new byte[0]);
      return;
    }
    if (item.isEmpty()) {
      synchronized (staged) {
        HttpListener.respondJson(out, 200, Json.map("held", new ArrayList<>(staged.keySet())));
      }
      return;
    }
    byte[] piece;
    synchronized (staged) {
      piece = staged.get(Integer.parseInt(item));
    }
    observer.onStageRead(this, Integer.parseInt(item));
    HttpListener.respond(
        out, piece == null ? 404 : 200, Map.of(), piece == null ? new byte[0] : piece);
  }

  @SuppressWarnings("unchecked")
  private void handleOrder(HttpMessage request, OutputStream out) throws IOException {
    Map<String, Object> order =
        (Map<String, Object>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
    long ordered = ((Number) order.getOrDefault("version", 0L)).longValue();
    Object expected = order.get("precondition");
    if (busy || expected != null && (Long) expected != sequence) {
      HttpListener.respondJson(out, 409, Json.map());
      return;
    }
    if (version == ordered) {
      HttpListener.respondJson(out, 200, Json.map());
      return;
    }
    sequence++;
    busy = true;
    TreeMap<Integer, byte[]> taken;
    synchronized (staged) {
      taken = new TreeMap<>(staged);
    }
    observer.onOrder(this, ordered, taken);
    Threads.start(
        "load " + name,
        () -> {
          slots.acquireUninterruptibly(SLOTS);
          Threads.sleep(300);
          version = ordered;
          busy = false;
          slots.release(SLOTS);
          store.put("servers", id, row());
        });
    HttpListener.respondJson(out, 202, Json.map());
  }

  private boolean serve(HttpMessage request, OutputStream out) throws IOException {
    String requestId = request.header("Cornelchute-Request-Id", "");
    String expected = request.header("Cornelchute-Expected-Instance", id);
    if (!expected.equals(id)) {
      return refuse(out, requestId, 421);
    }
    observer.onArrival(this, request);
    slots.acquireUninterruptibly();
    try {
      String wanted = request.header("Cornelchute-Expected-Version", "" + version);
      if (!wanted.equals("" + version)) {
        return refuse(out, requestId, 421);
      }
      if (model.isEmpty()) {
        Threads.sleep(20);
        observer.onRun(this, request, 0);
        HttpListener.respond(
            out, 200, signed(requestId), ("done " + requestId).getBytes(StandardCharsets.UTF_8));
        return true;
      }
      Threads.sleep(PREFILL_MILLIS);
      awaitSound();
      observer.onRun(this, request, version);
      if (observer.crashesAtBegin(this, request, out)) {
        return false;
      }
      stream(requestId, Integer.parseInt(request.header("Last-Event-Id", "0")), out);
      return true;
    } finally {
      slots.release();
    }
  }

  private void stream(String requestId, int after, OutputStream out) throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
    signed(requestId).forEach((k, v) -> head.append(k + ": " + v + "\r\n"));
    head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    head.append("Cornelchute-Weight-Versions: " + version + "\r\n\r\n");
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    for (int i = after + 1; i <= EVENTS; i++) {
      String event = "id: " + i + "\ndata: " + requestId + "-" + i + "\n\n";
      String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
      awaitSound();
      if (listener.isDark()) {
        return;
      }
      out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      Threads.sleep(EVENT_MILLIS);
    }
    if (!listener.isDark()) {
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
  }

  private boolean refuse(OutputStream out, String requestId, int status) throws IOException {
    HttpListener.respond(
        out,
        status,
        Map.of("Cornelchute-Request-Id", requestId, "Cornelchute-Not-Executed", "1"),
        new byte[0]);
    return true;
  }

  private Map<String, String> signed(String requestId) {
    int running = SLOTS - slots.availablePermits();
    return Map.of(
        "Cornelchute-Request-Id", requestId,
        "Cornelchute-Response-Signature", "s-" + requestId + "-" + id,
        "Cornelchute-Instance-Load", running + "," + slots.getQueueLength() + "," + SLOTS);
  }

  /** Is told what happens at replicas. */
  interface Observer {

    /** A request that is not refused with 421 has reached the replica. */
    default void onArrival(ReplicaStandin replica, HttpMessage request) {}

    /** A request begins to run. */
    default void onRun(ReplicaStandin replica, HttpMessage request, long version) {}

    /**
     * The replica is about to write the answer to a request.
     *
     * @return whether it has crashed over that
     */
    default boolean crashesAtBegin(ReplicaStandin replica, HttpMessage request, OutputStream out)
        throws IOException {
      return false;
    }

    /** A staged piece is about to be handed out. */
    default void onStageRead(ReplicaStandin replica, int piece) {}

    /** An order to load a version is accepted, with the staged pieces as they are now. */
    default void onOrder(ReplicaStandin replica, long version, TreeMap<Integer, byte[]> taken) {}
  }
}
