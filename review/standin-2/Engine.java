import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * A model replica that streams one event a step. A request for which the crash rule holds crashes
 * it after the first event: all connections are reset, and the replica is back some seconds later
 * under the same id, as a new incarnation.
 */
final class Engine {

  static final String MODEL = "model-1";
  private static final long DOWN_MILLIS = 2_000;

  /** What a replica tells the test. */
  interface Observer {
    /** A request has reached the replica. */
    void onArrival(Engine engine, Server.Request request);

    /** A request has begun to run. */
    void onBegin(Engine engine, Server.Request request);

    void onCrash(Engine engine, Server.Request request);

    /** Returns whether a request crashes a replica that begins to answer it. */
    boolean crashes(Engine engine, Server.Request request);
  }

  final String id;
  private final String service;
  private final int slots;
  private final int events;
  private final long stepMillis;
  private final Store store;
  private final Observer observer;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private int port;
  private volatile ServerSocket listening;
  private volatile long born = System.currentTimeMillis();
  private volatile long coldUntil;
  private int running;

  Engine(
      String id,
      String service,
      int slots,
      int events,
      long stepMillis,
      Store store,
      Observer observer)
      throws IOException {
    this.events = events;
    this.stepMillis = stepMillis;
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.store = store;
    this.observer = observer;
    listen();
    register();
  }

  private void listen() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
    port = socket.getLocalPort();
    listening = socket;
    Thread thread = new Thread(() -> accept(socket), "accept");
    thread.setDaemon(true);
    thread.start();
  }

  /** Makes the replica cold for some time; it says so in the store once the store answers. */
  void turnCold(long millis) {
    coldUntil = System.currentTimeMillis() + millis;
  }

  boolean isCold() {
    return System.currentTimeMillis() < coldUntil;
  }

  void register() {
    ObjectNode row = new ObjectMapper().createObjectNode();
    row.put("service", service).put("address", "127.0.0.1:" + port).put("zone", "quito-norte");
    row.put("version", "v1").put("slots", slots).put("state", "ready");
    row.put("coldRemainingMs", Math.max(0, coldUntil - System.currentTimeMillis())).put("stage", "prefill_decode");
    ObjectNode model = row.putArray("models").addObject();
    model.put("name", MODEL).put("version", 1).putArray("adapters");
    row.putObject("layers").put("source", 0).put("target", 16).put("version", 1);
    row.put("sequence", 0).put("born", born);
    store.put("servers", id, row);
  }

  private void accept(ServerSocket socket) {
    while (!socket.isClosed()) {
      try {
        Socket accepted = socket.accept();
        accepted.setTcpNoDelay(true);
        open.add(accepted);
        Thread thread = new Thread(() -> serve(accepted), "connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket accepted) {
    try (accepted) {
      InputStream in = new BufferedInputStream(accepted.getInputStream());
      OutputStream out = accepted.getOutputStream();
      while (true) {
        Server.Request request = Server.readRequest(in);
        if (request == null) {
          return;
        }
        observer.onArrival(this, request);
        answer(request, out);
      }
    } catch (Exception e) {
      // The peer closed the connection, or this replica has crashed.
    } finally {
      open.remove(accepted);
    }
  }

  private void answer(Server.Request request, OutputStream out) throws Exception {
    if (request.path().equals("/health")) {
      long cold = Math.max(0, coldUntil - System.currentTimeMillis());
      write(
          out,
          "HTTP/1.1 200 OK\r\nCornelchute-Instance-Id: "
              + id
              + "\r\nCornelchute-Cold-Start-Ms: "
              + cold
              + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    String requestId = request.header("Cornelchute-Request-Id");
    String head = "Cornelchute-Request-Id: " + requestId + "\r\n";
    if (!request.header("Cornelchute-Expected-Instance").equals(id)) {
      write(out, "HTTP/1.1 421 x\r\n" + head + "Content-Length: 0\r\n\r\n");
      return;
    }
    if (!take()) {
      head += "Cornelchute-Not-Executed: 1\r\n";
      write(out, "HTTP/1.1 503 x\r\n" + head + "Content-Length: 0\r\n\r\n");
      return;
    }
    try {
      stream(request, requestId, head, out);
    } finally {
      free();
    }
  }

  private void stream(Server.Request request, String requestId, String head, OutputStream out)
      throws Exception {
    Thread.sleep(2 * stepMillis);
    observer.onBegin(this, request);
    write(
        out,
        "HTTP/1.1 200 OK\r\n"
            + head
            + "Cornelchute-Response-Signature: s-"
            + requestId
            + "\r\nCornelchute-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
    String last = request.header("Last-Event-Id");
    for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
      String event = "id: " + i + "\ndata: " + requestId + "-" + i + "\n\n";
      write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      if (observer.crashes(this, request)) {
        Thread.sleep(5);
        crash(request);
        return;
      }
      Thread.sleep(stepMillis);
    }
    write(out, "0\r\n\r\n");
  }

  private void crash(Server.Request request) throws Exception {
    synchronized (this) {
      if (listening.isClosed()) {
        return;
      }
      listening.close();
    }
    observer.onCrash(this, request);
    for (Socket socket : open) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
    Thread restart =
        new Thread(
            () -> {
              try {
                Thread.sleep(DOWN_MILLIS);
                born = System.currentTimeMillis();
                listen();
                register();
              } catch (Exception e) {
                e.printStackTrace();
              }
            });
    restart.setDaemon(true);
    restart.start();
  }

  private synchronized boolean take() {
    if (running >= slots) {
      return false;
    }
    running++;
    return true;
  }

  private synchronized void free() {
    running--;
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Returns a configuration with one model service, one resumable streaming route and one key. */
  static ObjectNode config(long version, String service) {
    ObjectNode config = Plain.config(version, service);
    ((ArrayNode) config.get("routes")).removeAll();
    ObjectNode route = ((ArrayNode) config.get("routes")).addObject();
    route.put("name", "drafts").put("host", "api.example").put("pathPrefix", "/drafts/");
    route.put("kind", "streaming").put("timeoutMs", 6_000).put("targetLatencyMs", 500);
    route.put("priority", 1).put("service", service).put("maxAttempts", 2);
    route.put("anonymous", false).put("sticky", true).put("resumable", true);
    route.put("targetGapMs", 400).putArray("allowedRegions");
    ObjectNode s = (ObjectNode) config.get("services").get(0);
    s.put("maxConnections", 314);
    ObjectNode engine = s.putObject("engine");
    engine.put("slots", 16).put("kvCacheTokens", 1_180_000).put("stride", 5);
    engine.put("step_ms", 8.87).put("per_seq_ms", 0.0388).put("read_per_s", 19_100.0);
    engine.put("context_per_k", 0.0227).put("pairs_per_m", 1.47).put("chunk", 2_048);
    engine.putArray("models").addObject().put("name", MODEL);
    engine.putObject("usual").put("prompt", 977).put("answer", 94);
    engine.put("layers", 16).put("chunks", 96).put("chunkBytes", 24_576);
    return config;
  }
}
