import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A model replica with staged data, orders and layers. It can stand still, with all that reaches it
 * in its sockets, and staged pieces can turn bad.
 */
final class WeightsReplica {

  static final int PIECES = 96;
  static final int LAYERS = 16;
  private static final int PIECE_BYTES = 24_576;
  private static final double WARMUP_MILLIS = 300;
  private static final int EVENTS = 8;
  private static final long STEP_MILLIS = 15;

  /** What a replica tells the test. */
  interface Observer {
    /** An order has arrived, before it is read. */
    void onOrder(WeightsReplica replica, String body);

    void log(String line);
  }

  final String id;
  final boolean staging;
  private final Store store;
  private final Observer observer;
  private final ServerSocket socket;
  private final long born = System.currentTimeMillis();
  private final byte[][] staged = new byte[PIECES][];
  private final Map<Integer, Long> badSince = new HashMap<>();

  /** For how long, in milliseconds, a piece of a layer had been bad when the layer was taken. */
  private final Map<Integer, Long> badWhenTaken = new HashMap<>();

  private long version = 1;
  private int from;
  private int to = LAYERS;
  private boolean busy;
  private boolean rejecting;
  private long sequence;
  private int running;
  private boolean still;
  private int begunOnBadLayers;

  WeightsReplica(String id, boolean staging, Store store, Observer observer) throws IOException {
    this.id = id;
    this.staging = staging;
    this.store = store;
    this.observer = observer;
    this.socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    for (int i = 0; i < PIECES; i++) {
      staged[i] = piece(1, i);
    }
    daemon(this::accept);
    daemon(this::beat);
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  static byte[] piece(long version, int index) {
    byte[] bytes = new byte[PIECE_BYTES];
    new java.util.Random(version * 1_000 + index).nextBytes(bytes);
    return bytes;
  }

  synchronized void setStill(boolean value) {
    still = value;
    notifyAll();
  }

  /** Turns some staged pieces bad. */
  synchronized void spoil(int first, int count) {
    for (int i = first; i < first + count; i++) {
      staged[i] = staged[i].clone();
      staged[i][7] ^= 1;
      badSince.put(i, now());
    }
    observer.log("pieces " + first + " to " + (first + count - 1) + " turned bad at " + id);
  }

  synchronized int begunOnBadLayers() {
    return begunOnBadLayers;
  }

  synchronized long version() {
    return version;
  }

  private synchronized void awaitMotion() throws InterruptedException {
    while (still) {
      wait();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket accepted = socket.accept();
        accepted.setTcpNoDelay(true);
        daemon(() -> serve(accepted));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket accepted) {
    try (accepted) {
      InputStream in = new BufferedInputStream(accepted.getInputStream(), 65_536);
      OutputStream out = accepted.getOutputStream();
      while (true) {
        Server.Request request = Server.readRequest(in);
        if (request == null) {
          return;
        }
        if (request.path().equals("/api/order")) {
          observer.onOrder(this, new String(request.body(), StandardCharsets.UTF_8));
        }
        awaitMotion();
        handle(request, accepted, in, out);
        if (request.header("connection").equalsIgnoreCase("close")) {
          return;
        }
      }
    } catch (Exception e) {
      // The peer closed the connection.
    }
  }

  /** Returns whether the peer has closed the connection, so that its request is dropped. */
  private static boolean isClosed(Socket accepted, InputStream in) throws IOException {
    accepted.setSoTimeout(1);
    in.mark(1);
    try {
      return in.read() < 0;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    } finally {
      accepted.setSoTimeout(0);
      in.reset();
    }
  }

  private void handle(Server.Request request, Socket accepted, InputStream in, OutputStream out)
      throws Exception {
    String path = request.path();
    if (path.equals("/api/report")) {
      respond(out, 200, "", report().toString().getBytes(StandardCharsets.UTF_8));
    } else if (path.startsWith("/api/stage-put/")) {
      put(Integer.parseInt(request.query("itemCount", "0")), request.body());
      respond(out, 200, "", new byte[0]);
    } else if (path.startsWith("/api/stage-get/")) {
      respond(out, 200, "", get(Integer.parseInt(request.query("itemCount", "0"))));
    } else if (path.equals("/api/order")) {
      int status = order(new ObjectMapper().readTree(request.body()));
      observer.log("order answered " + status + " by " + id);
      respond(out, status, "", "{}".getBytes(StandardCharsets.UTF_8));
    } else {
      stream(request, accepted, in, out);
    }
  }

  private synchronized void put(int piece, byte[] bytes) {
    staged[piece] = bytes;
    badSince.remove(piece);
  }

  private synchronized byte[] get(int piece) {
    return staged[piece];
  }

  private synchronized ObjectNode report() {
    ObjectNode report = describe();
    report.put("busy", busy).put("waiting", 0).put("running", running);
    return report.put("kvCacheUsed", 0).put("kvCacheTotal", 90_000).put("prefixHandles", 0);
  }

  private ObjectNode describe() {
    ObjectNode node = new ObjectMapper().createObjectNode();
    node.put("stage", "prefill_decode").put("sequence", sequence).put("born", born);
    var models = node.putArray("models");
    models.addObject().put("name", Engine.MODEL).put("version", version).putArray("adapters");
    node.putObject("layers").put("source", from).put("target", to).put("version", version);
    return node;
  }

  private void beat() {
    try {
      while (true) {
        awaitMotion();
        register();
        Thread.sleep(1_200);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void register() {
    ObjectNode row = describe();
    row.put("service", "engines").put("address", address()).put("zone", "quito-norte");
    row.put("version", "v1").put("slots", 16).put("state", "ready").put("coldRemainingMs", 0);
    store.put("servers", id, row);
  }

  private synchronized int order(JsonNode body) {
    if (body.has("precondition") && body.path("precondition").asLong() != sequence || busy) {
      return 409;
    }
    long wanted = body.path("version").asLong();
    int source = body.path("source").asInt(0);
    int target = body.has("target") ? body.path("target").asInt() : LAYERS;
    if (wanted == version && source == from && target == to) {
      return 200;
    }
    sequence++;
    busy = true;
    rejecting = body.path("switchMode").asText().equals("reject");
    boolean same = wanted == version;
    int taken = 0;
    for (int layer = source; layer < target; layer++) {
      if (!same || layer < from || layer >= to) {
        take(layer);
        taken++;
      }
    }
    double share = (double) taken / LAYERS;
    daemon(() -> load(wanted, source, target, (long) (WARMUP_MILLIS * share)));
    return 202;
  }

  /** Takes a layer from the staged pieces as they are now. */
  private void take(int layer) {
    int first = layer * PIECES / LAYERS;
    int after = ((layer + 1) * PIECES + LAYERS - 1) / LAYERS;
    long longest = 0;
    for (int piece = first; piece < after; piece++) {
      longest = Math.max(longest, badSince.containsKey(piece) ? now() - badSince.get(piece) : 0);
    }
    badWhenTaken.put(layer, longest);
    if (longest > 0) {
      observer.log("layer " + layer + " taken with a piece that was bad for ms=" + longest);
    }
  }

  private void load(long wanted, int source, int target, long millis) {
    try {
      synchronized (this) {
        while (running > 0) {
          wait();
        }
      }
      Thread.sleep(millis);
      awaitMotion();
      synchronized (this) {
        version = wanted;
        from = source;
        to = target;
        busy = false;
        rejecting = false;
        observer.log(id + " holds layers " + source + " to " + target + " of version " + wanted);
        notifyAll();
      }
      register();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void stream(Server.Request request, Socket accepted, InputStream in, OutputStream out)
      throws Exception {
    String requestId = request.header("Cornelchute-Request-Id");
    String head = "Cornelchute-Request-Id: " + requestId + "\r\n";
    String expected = request.header("Cornelchute-Expected-Version");
    long begunVersion;
    if (isClosed(accepted, in)) {
      observer.log("dropped " + requestId);
      return;
    }
    synchronized (this) {
      if (rejecting) {
        respond(out, 503, head + "Cornelchute-Not-Executed: 1\r\n", new byte[0]);
        return;
      }
      while (busy) {
        wait();
        if (isClosed(accepted, in)) {
          observer.log("dropped " + requestId);
          return;
        }
      }
      boolean otherVersion = !expected.isEmpty() && !expected.equals(Long.toString(version));
      boolean other = !request.header("Cornelchute-Expected-Instance").equals(id);
      if (other || otherVersion || from > 0 || to < LAYERS) {
        respond(out, 421, head + "Cornelchute-Not-Executed: 1\r\n", new byte[0]);
        return;
      }
      running++;
      begunVersion = version;
      long worst = badWhenTaken.values().stream().mapToLong(ms -> ms).max().orElse(0);
      if (worst > 3_000) {
        begunOnBadLayers++;
        observer.log("began on a bad layer: " + requestId + " at " + id);
      } else {
        observer.log("began " + requestId + " on version " + version + " at " + id);
      }
    }
    try {
      write(
          out,
          "HTTP/1.1 200 OK\r\n"
              + head
              + "Cornelchute-Response-Signature: s-"
              + requestId
              + "\r\nCornelchute-Weight-Versions: "
              + begunVersion
              + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      String last = request.header("Last-Event-Id");
      for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
        Thread.sleep(STEP_MILLIS);
        awaitMotion();
        String event = "id: " + i + "\ndata: " + requestId + "-" + i + "\n\n";
        write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      }
      write(out, "0\r\n\r\n");
    } finally {
      synchronized (this) {
        running--;
        notifyAll();
      }
    }
  }

  private static void respond(OutputStream out, int status, String headers, byte[] body)
      throws IOException {
    String head = "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length;
    write(out, head + "\r\n\r\n");
    out.write(body);
    out.flush();
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }
}
