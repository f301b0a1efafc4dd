import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica turns cold while the platform's store is down. */
final class ColdAway implements Engine.Observer {

  private static final double COLD_PER_SECOND = 26;
  private static final double OVERRUN = 1.5;
  private static final int ALLOWANCE = 5;
  private static final long STORE_DOWN_MILLIS = 4_500;
  private static final long COLD_MILLIS = 3_000;
  private static final int REPLICAS = 2;

  /** Requests in one second at which a cold replica crashes. */
  private static final int CRASH_RATE = 2 * (int) (COLD_PER_SECOND * OVERRUN);

  private final boolean trouble;
  private final long startedAt = System.nanoTime();
  private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<Arrival> coldArrivals = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<String> record = new ConcurrentLinkedQueue<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();

  /** A request that reached a cold replica. */
  private record Arrival(Engine engine, long sentAt, long arrivedAt) {}

  private ColdAway(boolean trouble) {
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    Verdict.exit(() -> new ColdAway(!"0".equals(System.getenv("TROUBLE"))).run(args));
  }

  private int run(String[] args) throws Exception {
    Store store = new Store();
    Server storeServer = new Server(store);
    ObjectNode config = Engine.config(1, "engines");
    ((ObjectNode) config.get("services").get(0)).put("coldStartS", 3.0).put("coldPerS", 26.0);
    store.put("op", "config", config);
    Engine[] engines = new Engine[REPLICAS];
    for (int i = 0; i < REPLICAS; i++) {
      engines[i] = new Engine("i-" + i, "engines", 16, 4, 10, store, this);
    }
    int[] ports = Daemon.freePorts(4);
    String settings = Daemon.entrySettings("edge-1", ports, storeServer.address(), true);
    Path folder = Path.of(args[1]);
    try (Daemon entry = Daemon.start(Path.of(args[0]), folder, "entry", "edge-1", settings)) {
      if (!Start.awaitReady("127.0.0.1:" + ports[1])) {
        log("the entry did not get ready");
        return finish(args, 2);
      }
      Thread load = new Thread(() -> load("127.0.0.1:" + ports[0], 13_000));
      load.start();
      Thread.sleep(5_000);
      if (trouble) {
        log("the store is down");
        store.setSilent(true);
        Thread.sleep(500);
        engines[0].turnCold(COLD_MILLIS);
        log("i-0 turns cold for ms=" + COLD_MILLIS);
        Thread.sleep(STORE_DOWN_MILLIS - 500);
        store.setSilent(false);
        engines[0].register();
        log("the store is back");
      }
      load.join();
      Thread.sleep(1_000);
    }
    return finish(args, verdict());
  }

  private void load(String address, long millis) {
    ExecutorService clients = Executors.newCachedThreadPool();
    long until = now() + millis;
    for (int n = 0; now() < until; n++) {
      String id = "r-" + n;
      clients.execute(() -> call(address, id));
      sleep(5);
    }
    clients.shutdown();
  }

  private void call(String address, String id) {
    sentAt.put(id, now());
    log("sent " + id);
    String outcome;
    try (Client client = new Client(address)) {
      Map<String, String> headers =
          Map.of(
              "Cornelchute-Request-Id", id,
              "Cornelchute-Deadline-Ms", "6000",
              "Authorization", "Bearer key-1",
              "Cornelchute-Model", Engine.MODEL,
              "Cornelchute-Token-Counts", "340,40",
              "Cornelchute-Prefix-Hash", "51000000:40,7" + id.hashCode() % 100 + ":300");
      client.sendHead("POST", "/drafts/x", "api.example", headers, 0);
      Client.Answer answer = client.readAnswer(6_000);
      outcome = answer == null ? "closed" : Integer.toString(answer.status());
    } catch (Exception e) {
      outcome = "broken off";
    }
    (outcome.equals("200") ? answered : failed).incrementAndGet();
    log("answered " + id + " " + outcome);
  }

  @Override
  public void onArrival(Engine engine, Server.Request request) {
    String id = request.header("Cornelchute-Request-Id");
    if (engine.isCold() && sentAt.containsKey(id)) {
      coldArrivals.add(new Arrival(engine, sentAt.get(id), now()));
      log("reached cold " + engine.id + " " + id);
    }
  }

  @Override
  public void onBegin(Engine engine, Server.Request request) {
    log("began " + engine.id + " " + request.header("Cornelchute-Request-Id"));
  }

  @Override
  public void onCrash(Engine engine, Server.Request request) {
    log("crash of " + engine.id);
  }

  @Override
  public boolean crashes(Engine engine, Server.Request request) {
    return engine.isCold() && mostInOneSecond() > CRASH_RATE;
  }

  /** Returns the most requests that were sent and arrived at a cold replica in some second. */
  private int mostInOneSecond() {
    int most = 0;
    List<Arrival> arrivals = List.copyOf(coldArrivals);
    for (Arrival first : arrivals) {
      long from = first.sentAt;
      int count = 0;
      for (Arrival a : arrivals) {
        count += a.sentAt >= from && a.arrivedAt < from + 1_000 ? 1 : 0;
      }
      most = Math.max(most, count);
    }
    return most;
  }

  private int verdict() {
    int most = mostInOneSecond();
    double allowed = COLD_PER_SECOND * OVERRUN + ALLOWANCE;
    log("answered with 200: " + answered + ", otherwise: " + failed);
    log("most requests at the cold replica in a second: " + most + ", allowed " + allowed);
    if (answered.get() < 500) {
      return 2;
    }
    return most > allowed ? 1 : 0;
  }

  private int finish(String[] args, int code) throws Exception {
    log(code == 1 ? "FAILBACK broken" : code == 0 ? "held" : "could not run");
    Files.write(Path.of(args[2]), record);
    return code;
  }

  private void log(String line) {
    record.add(String.format("%7d %s", now(), line));
  }

  private long now() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
